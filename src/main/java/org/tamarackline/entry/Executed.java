package org.tamarackline.entry;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a request was executed, as stated in the response. */
public enum Executed {
    /** The request was executed. */
    YES("yes"),
    /** The request was not executed and will not be. */
    NO("no"),
    /** The request may have been executed. */
    UNKNOWN("unknown");

    /** Response header with this value. */
    public static final String HEADER = "Tamarackline-Executed";

    private final String text;

    Executed(String text) {
        this.text = text;
    }

    /** Returns the form of the value in headers and JSON. */
    @JsonValue
    public String text() {
        return text;
    }
}
