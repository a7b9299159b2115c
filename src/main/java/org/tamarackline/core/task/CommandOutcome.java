package org.tamarackline.core.task;

import java.util.Optional;

/** The outcome of a {@link WorkerCommand}, reported to {@link RackScheduler#handleOutcome}. */
public sealed interface CommandOutcome {

    /**
     * The worker carried the command out.
     *
     * @param report what the worker reports about the task; empty after a start
     */
    record Accepted(Optional<WorkerProtocol.TaskReport> report) implements CommandOutcome {}

    /**
     * The worker refused the command.
     *
     * @param code reason for the refusal
     */
    record Refused(WorkerProtocol.RefusalCode code) implements CommandOutcome {}

    /** The command was not sent, so the worker cannot act on it. */
    record NotSent() implements CommandOutcome {}

    /** No response arrived; the worker may act on the command now or later. */
    record Unknown() implements CommandOutcome {}
}
