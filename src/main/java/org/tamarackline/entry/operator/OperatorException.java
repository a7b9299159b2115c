package org.tamarackline.entry.operator;

import java.util.Optional;

import org.tamarackline.entry.Executed;

/** An operator's request that was refused. */
public final class OperatorException extends Exception {

    private static final long serialVersionUID = 1L;

    private final OperatorErrorCode code;
    private final Long currentVersion;

    private OperatorException(OperatorErrorCode code, String detail, Long currentVersion) {
        super(detail);
        this.code = code;
        this.currentVersion = currentVersion;
    }

    /** Creates the exception; {@code detail} says how to correct the request. */
    public OperatorException(OperatorErrorCode code, String detail) {
        this(code, detail, null);
    }

    /** Creates the exception for the loser of a race. */
    public static OperatorException conflict(long expectedVersion, long currentVersion) {
        String detail = "the configuration is at version %d, not %d; read it again and repeat the change"
                .formatted(currentVersion, expectedVersion);
        return new OperatorException(OperatorErrorCode.VERSION_CONFLICT, detail, currentVersion);
    }

    /** Returns the code. */
    public OperatorErrorCode code() {
        return code;
    }

    /** Returns the version that the configuration has, if that is the reason. */
    public Optional<Long> currentVersion() {
        return Optional.ofNullable(currentVersion);
    }

    /** Returns whether the request took effect. */
    public Executed executed() {
        return code == OperatorErrorCode.OUTCOME_UNKNOWN ? Executed.UNKNOWN : Executed.NO;
    }
}
