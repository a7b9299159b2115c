package org.tamarackline.worker;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.task.WorkerProtocol;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;

/** Thrown if the worker refused the command and did not execute it. */
public final class WorkerRefusedException extends WorkerException {

    private static final long serialVersionUID = 1L;

    private final RefusalCode code;
    private final long highestEpoch;

    /** Creates the exception from the worker's response. */
    public WorkerRefusedException(WorkerProtocol.Refusal refusal) {
        super("worker refused the command: %s (%s)".formatted(refusal.code(), refusal.detail()), null);
        this.code = refusal.code();
        this.highestEpoch = refusal.highestEpoch().value();
    }

    /** Returns the reason for the refusal. */
    public RefusalCode code() {
        return code;
    }

    /** Returns the highest epoch that the worker has seen. */
    public Epoch highestEpoch() {
        return new Epoch(highestEpoch);
    }
}
