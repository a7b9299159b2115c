package org.tamarackline.standin.worker;

import org.tamarackline.core.task.WorkerProtocol.Refusal;

/** Thrown when the worker stand-in refuses a command; holds the refusal to send as the response. */
final class CommandRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    CommandRefusedException(Refusal refusal) {
        super(refusal.detail());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
