package org.tamarackline.store;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A set of writes that takes effect as a whole, provided that all checked rows have the given versions.
 *
 * @param token identifies the transaction, so that a lost answer can be settled by reading the token back
 * @param checks versions that must hold
 * @param writes rows to write or delete, at most 200
 */
public record TableTransaction(String token, List<Check> checks, List<Write> writes) {

    /** Creates a transaction that later changes of the arguments do not affect. */
    public TableTransaction {
        checks = List.copyOf(checks);
        writes = List.copyOf(writes);
    }

    /**
     * Requires a row to be at a version.
     *
     * @param key key of the row
     * @param version required version, 0 for an absent row
     */
    public record Check(String key, long version) {}

    /**
     * Writes or deletes a row.
     *
     * @param key key of the row
     * @param value new value, null to delete the row
     */
    public record Write(String key, JsonNode value) {}
}
