package org.tamarackline.store;

/** Thrown if a transaction is rejected because a checked row has another version; nothing was applied. */
public final class TransactionConflictException extends PlatformException {

    private static final long serialVersionUID = 1L;

    private final String key;
    private final long currentVersion;

    /** Creates the exception for the row at {@code key}, which is at {@code currentVersion}. */
    public TransactionConflictException(String key, long currentVersion) {
        super("row \"%s\" is at version %d; read it again before changing it".formatted(key, currentVersion), null);
        this.key = key;
        this.currentVersion = currentVersion;
    }

    /** Returns the key of the row that failed its check. */
    public String key() {
        return key;
    }

    /** Returns the current version of that row, 0 if it is absent. */
    public long currentVersion() {
        return currentVersion;
    }
}
