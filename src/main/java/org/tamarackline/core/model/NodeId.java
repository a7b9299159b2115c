package org.tamarackline.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an entry node by its address for other nodes, such as {@code 10.0.0.5:7400}.
 *
 * @param value text of the identifier
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {

    /**
     * Creates the identifier.
     *
     * @throws IllegalArgumentException if {@code value} is not an identifier as defined by {@link Identifiers}
     */
    @JsonCreator
    public NodeId {
        Identifiers.check("node id", value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
