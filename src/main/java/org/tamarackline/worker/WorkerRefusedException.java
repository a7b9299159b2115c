package org.tamarackline.worker;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.task.WorkerProtocol;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;

/** The worker answered that it did not carry the command out. */
public final class WorkerRefusedException extends WorkerException {

    private static final long serialVersionUID = 1L;

    private final RefusalCode code;
    private final long highestEpoch;

    /** Creates the exception from the worker's answer. */
    public WorkerRefusedException(WorkerProtocol.Refusal refusal) {
        super("worker refused the command: %s (%s)".formatted(refusal.code(), refusal.detail()), null);
        this.code = refusal.code();
        this.highestEpoch = refusal.highestEpoch().value();
    }

    /** Returns why the command was refused. */
    public RefusalCode code() {
        return code;
    }

    /** Returns the highest epoch that the worker has seen. */
    public Epoch highestEpoch() {
        return new Epoch(highestEpoch);
    }
}
