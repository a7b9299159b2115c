package org.tamarackline.entry.jobs;

/** A request about a job that was not carried out, with what the caller is told. */
public final class JobRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final JobErrorCode code;
    private final Executed executed;

    /** Whether the request took effect. */
    public enum Executed {
        /** It did not. */
        NO,
        /** It may have. */
        UNKNOWN
    }

    /** Creates the exception for a request that had no effect. */
    public JobRefusedException(JobErrorCode code, String detail) {
        this(code, detail, Executed.NO);
    }

    /** Creates the exception. */
    public JobRefusedException(JobErrorCode code, String detail, Executed executed) {
        super(detail);
        this.code = code;
        this.executed = executed;
    }

    /** Returns why the request was not carried out. */
    public JobErrorCode code() {
        return code;
    }

    /** Returns whether the request took effect. */
    public Executed executed() {
        return executed;
    }
}
