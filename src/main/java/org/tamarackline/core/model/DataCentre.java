package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a data centre.
 *
 * @param value text of the identifier
 */
public record DataCentre(@JsonValue String value) implements Comparable<DataCentre> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public DataCentre {
        Identifiers.check("data centre name", value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
