package org.tamarackline.entry.jobs;

/** Thrown when a job request is refused or its outcome is unknown; carries the content of the error response. */
public final class JobRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final JobErrorCode code;
    private final Executed executed;

    /** Whether the request took effect. */
    public enum Executed {
        /** It had no effect. */
        NO,
        /** It may have taken effect. */
        UNKNOWN
    }

    /** Creates the exception for a request that had no effect. */
    public JobRefusedException(JobErrorCode code, String detail) {
        this(code, detail, Executed.NO);
    }

    /** Creates the exception for a request that may have had an effect, as {@code executed} says. */
    public JobRefusedException(JobErrorCode code, String detail, Executed executed) {
        super(detail);
        this.code = code;
        this.executed = executed;
    }

    /** Returns the reason of the refusal. */
    public JobErrorCode code() {
        return code;
    }

    /** Returns whether the request took effect. */
    public Executed executed() {
        return executed;
    }
}
