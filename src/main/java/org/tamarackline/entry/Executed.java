package org.tamarackline.entry;

import com.fasterxml.jackson.annotation.JsonValue;

/** What an answer promises about whether the request was run. */
public enum Executed {
    /** The request was run. */
    YES("yes"),
    /** The request was not run and will not be. */
    NO("no"),
    /** The request may have been run. */
    UNKNOWN("unknown");

    /** Header that carries this promise. */
    public static final String HEADER = "Tamarackline-Executed";

    private final String text;

    Executed(String text) {
        this.text = text;
    }

    /** Returns the value in headers and JSON. */
    @JsonValue
    public String text() {
        return text;
    }
}
