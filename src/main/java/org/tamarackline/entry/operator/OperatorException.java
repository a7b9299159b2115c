package org.tamarackline.entry.operator;

import java.util.Optional;

import org.tamarackline.entry.Executed;

/** Thrown if an operator's request is refused or its outcome is unknown. */
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

    /** Creates the exception for a change that is not based on the current version. */
    public static OperatorException conflict(long expectedVersion, long currentVersion) {
        String detail = "the configuration is at version %d, not %d; read it again and repeat the change"
                .formatted(currentVersion, expectedVersion);
        return new OperatorException(OperatorErrorCode.VERSION_CONFLICT, detail, currentVersion);
    }

    public OperatorErrorCode code() {
        return code;
    }

    /** Returns the current version of the configuration after a version conflict, otherwise nothing. */
    public Optional<Long> currentVersion() {
        return Optional.ofNullable(currentVersion);
    }

    /** Returns whether the request was executed. */
    public Executed executed() {
        return code == OperatorErrorCode.OUTCOME_UNKNOWN ? Executed.UNKNOWN : Executed.NO;
    }
}
