package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Distinguishes the successive processes of a node. Each process chooses a random incarnation when it starts.
 *
 * @param value random number, compared only for equality
 */
public record Incarnation(@JsonValue long value) {

    /** Creates an incarnation. */
    @JsonCreator
    public Incarnation {}
}
