package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of an authenticated caller.
 *
 * @param value text of the identifier
 */
public record CallerName(@JsonValue String value) implements Comparable<CallerName> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public CallerName {
        Identifiers.check("caller name", value);
    }

    @Override
    public int compareTo(CallerName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
