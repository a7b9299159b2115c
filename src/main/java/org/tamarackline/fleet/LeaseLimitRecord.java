package org.tamarackline.fleet;

/**
 * Stored limit of the runner leases.
 *
 * @param epoch fencing token of the leader that stored it
 * @param limitStoreMs time on the store's clock by which all leases that this leader and earlier ones granted have
 *     expired; {@link #UNKNOWN} if no leader has stored one
 * @param followers number of nodes that followed the leader
 */
record LeaseLimitRecord(long epoch, long limitStoreMs, int followers) {

    /** Key of the record in its table. */
    static final String KEY = "limit";

    /** Limit of a record whose leader does not know by when the leases of earlier leaders expire. */
    static final long UNKNOWN = 0;

    /** Stands for a record that does not exist or cannot be read. */
    static final LeaseLimitRecord NONE = new LeaseLimitRecord(0, UNKNOWN, 0);
}
