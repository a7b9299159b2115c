package org.tamarackline.store;

import java.util.Map;

/** Responses of the platform's table service, as encoded in JSON. */
public final class TableResponses {

    private TableResponses() {}

    /**
     * Response to a transaction that was applied.
     *
     * @param versions new version of each written row, 0 for a deleted one
     */
    public record Applied(Map<String, Long> versions) {}

    /**
     * Response to a transaction that was not applied because a check failed.
     *
     * @param key key of the row
     * @param version current version of the row, 0 if it is absent
     */
    public record Conflict(String key, long version) {}

    /**
     * Response to a call that failed.
     *
     * @param detail description of the failure
     * @param applied whether the call may have been applied; only an explicit false proves that it was not
     */
    public record Failure(String detail, Boolean applied) {}
}
