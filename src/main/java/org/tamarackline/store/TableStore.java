package org.tamarackline.store;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table. Every call returns or fails within the configured request timeout. */
public interface TableStore {

    /**
     * Returns the row at {@code key}.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    Optional<Row> get(String key) throws PlatformUnavailableException;

    /**
     * Returns up to {@code limit} rows whose key starts with {@code prefix}, in key order, after the key {@code after}.
     *
     * @param after exclusive lower bound, empty to start at the first row
     * @param limit largest number of rows, 1 to 500
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    List<Row> scan(String prefix, String after, int limit) throws PlatformUnavailableException;

    /**
     * Applies a transaction. A lost answer is settled by reading the token back before this method returns.
     *
     * @throws TransactionConflictException if a check failed; nothing took effect
     * @throws PlatformUnavailableException if the platform certainly did not apply the transaction
     * @throws OutcomeUnknownException if the transaction may have been applied and its token could not be read back
     */
    void transact(TableTransaction transaction)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException;

    /**
     * Returns whether the transaction with this token took effect.
     *
     * <p>A false answer is final only if the transaction can no longer arrive, which the caller ensures by a check that a
     * later write invalidates.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    boolean wasApplied(String token) throws PlatformUnavailableException;
}
