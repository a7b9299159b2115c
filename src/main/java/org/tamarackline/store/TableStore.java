package org.tamarackline.store;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table. Each call returns or fails within the configured request timeout. */
public interface TableStore {

    /**
     * Returns the row at {@code key}.
     *
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    Optional<Row> get(String key) throws PlatformUnavailableException;

    /**
     * Returns up to {@code limit} rows whose key starts with {@code prefix}, in key order, after the key {@code after}.
     *
     * @param after exclusive lower bound, empty to start at the first row
     * @param limit maximum number of rows, 1 to 500
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    List<Row> scan(String prefix, String after, int limit) throws PlatformUnavailableException;

    /**
     * Applies a transaction. If its response is lost, the token is read to resolve the outcome before this method
     * returns.
     *
     * @throws TransactionConflictException if a check failed; nothing was applied
     * @throws PlatformUnavailableException if the transaction was certainly not applied
     * @throws OutcomeUnknownException if the transaction may have been applied and its token did not show it
     */
    void transact(TableTransaction transaction)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException;

    /**
     * Returns whether the transaction with this token was applied.
     *
     * <p>False is final only if the transaction can no longer be applied. The caller ensures this by a check in the
     * transaction that a later write invalidates.
     *
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    boolean wasApplied(String token) throws PlatformUnavailableException;
}
