package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a job.
 *
 * @param value text of the identifier
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public JobId {
        Identifiers.check("job id", value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
