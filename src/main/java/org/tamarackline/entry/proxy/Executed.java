package org.tamarackline.entry.proxy;

import com.fasterxml.jackson.annotation.JsonValue;

/** What the system knows about whether a request ran. */
public enum Executed {
    /** The upstream answered. */
    YES("yes"),
    /** No byte of the request was handed to a connection. */
    NO("no"),
    /** The upstream may have seen the request. */
    UNKNOWN("unknown");

    /** Header of every answer to a caller. */
    public static final String HEADER = "Tamarackline-Executed";

    private final String text;

    Executed(String text) {
        this.text = text;
    }

    /** Returns the value of the header. */
    @JsonValue
    public String text() {
        return text;
    }
}
