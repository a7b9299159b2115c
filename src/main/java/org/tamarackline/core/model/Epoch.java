package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The fencing token of a shard. It grows by one with each change of owner, so that commands of an earlier owner are refused.
 *
 * @param value number of changes of owner so far
 */
public record Epoch(@JsonValue long value) implements Comparable<Epoch> {

    /**
     * Creates an epoch.
     *
     * @throws IllegalArgumentException if {@code value} is negative
     */
    @JsonCreator
    public Epoch {
        if (value < 0) {
            throw new IllegalArgumentException("epoch %d is negative".formatted(value));
        }
    }

    /** Returns the epoch of the next owner. */
    public Epoch next() {
        return new Epoch(value + 1);
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }
}
