package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a profile, such as "quick answer".
 *
 * @param value text of the identifier
 */
public record ProfileName(@JsonValue String value) implements Comparable<ProfileName> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public ProfileName {
        Identifiers.check("profile name", value);
    }

    @Override
    public int compareTo(ProfileName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
