package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a process of an upstream by its identifier in the platform's VM list.
 *
 * @param value text of the identifier
 */
public record RunnerId(@JsonValue String value) implements Comparable<RunnerId> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public RunnerId {
        Identifiers.check("runner id", value);
    }

    @Override
    public int compareTo(RunnerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
