package org.tamarackline.store;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Writes that are applied atomically if all checked rows have the given versions.
 *
 * @param token identifier of the transaction, by which the outcome can be resolved if the response is lost
 * @param checks required versions of rows
 * @param writes rows to write or delete, at most 200
 */
public record TableTransaction(String token, List<Check> checks, List<Write> writes) {

    /** Copies the lists, so that later changes to them do not affect the transaction. */
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
