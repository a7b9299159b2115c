package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a shard: a rack of workers or a runner group. Each shard is owned by one node.
 *
 * @param value text of the identifier
 */
public record ShardId(@JsonValue String value) implements Comparable<ShardId> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public ShardId {
        Identifiers.check("shard id", value);
    }

    @Override
    public int compareTo(ShardId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
