package org.tamarackline.core.task;

import java.util.Optional;

/** What became of a command. */
public sealed interface CommandOutcome {

    /**
     * The worker carried it out.
     *
     * @param report what the worker knows of the task; empty after a start
     */
    record Accepted(Optional<WorkerProtocol.TaskReport> report) implements CommandOutcome {}

    /**
     * The worker refused it.
     *
     * @param code why
     */
    record Refused(WorkerProtocol.RefusalCode code) implements CommandOutcome {}

    /** Nothing was sent. */
    record NotSent() implements CommandOutcome {}

    /** No answer came; the worker may act on the command now or later. */
    record Unknown() implements CommandOutcome {}
}
