package org.tamarackline.store;

import java.util.Map;

/** The answers of the platform's table service, written as JSON. */
public final class TableResponses {

    private TableResponses() {}

    /**
     * Answer to a transaction that took effect.
     *
     * @param versions new version of each written row, 0 for a deleted one
     */
    public record Applied(Map<String, Long> versions) {}

    /**
     * Answer to a transaction of which a check failed.
     *
     * @param key key of the row
     * @param version current version of the row, 0 if it is absent
     */
    public record Conflict(String key, long version) {}

    /**
     * Answer to a call that the platform did not carry out.
     *
     * @param detail what was wrong
     * @param applied whether the call may have taken effect; only an explicit false is proof that it did not
     */
    public record Failure(String detail, Boolean applied) {}
}
