package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Distinguishes the successive processes of one node; drawn at random at each process start.
 *
 * @param value number, compared only for equality
 */
public record Incarnation(@JsonValue long value) {

    /** Creates an incarnation. */
    @JsonCreator
    public Incarnation {}
}
