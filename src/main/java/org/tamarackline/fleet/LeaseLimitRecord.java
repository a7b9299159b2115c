package org.tamarackline.fleet;

/**
 * Stored limit of the runner leases.
 *
 * @param epoch fencing token of the leader that stored it
 * @param limitStoreMs time on the store's clock by which all leases that this leader and earlier ones granted have
 *     expired; {@link #UNKNOWN} if no leader has stored one
 */
record LeaseLimitRecord(long epoch, long limitStoreMs) {

    /** Key of the record in its table. */
    static final String KEY = "limit";

    /** Limit of a record whose leader does not know by when the leases of earlier leaders expire. */
    static final long UNKNOWN = 0;
}
