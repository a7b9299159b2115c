package org.tamarackline.fleet;

import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;

/** Orders to runners. Answers arrive on the event loop. */
public interface RunnerCalls {

    /**
     * Orders a start.
     *
     * @param leaseUntilMs end of the runner's lease on its own clock, in milliseconds
     */
    void start(RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback);

    /** Orders a stop. The answer is true if the runner carried it out, or has no such run. */
    void stop(
            RunnerDescriptor runner, TaskKey task, long runNumber, long epoch, Consumer<RunnerCommandOutcome> callback);

    /** Orders a speed. */
    void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback);

    /**
     * Extends the lease of everything on a runner, confirms ends, and asks what runs and what has ended.
     *
     * @param lastAcknowledgedEnd number up to which the runner may forget ends
     * @param leaseUntilMs end of the lease on the runner's clock in milliseconds, 0 to leave it as it is
     * @param waitMs how long the runner may wait for a further end
     */
    void poll(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback);

    /**
     * What a start says.
     *
     * @param task task to run
     * @param runNumber number of the run
     * @param spec text of the job
     * @param checkpoint checkpoint to resume from, empty for none
     * @param epoch fencing token
     */
    record StartCommand(TaskKey task, long runNumber, String spec, String checkpoint, long epoch) {}

    /**
     * Answer to a start.
     *
     * @param result what became of it
     * @param outcome whether the runner accepts orders of this epoch
     * @param reason what the runner said, for the log
     */
    record StartResponse(StartResult result, RunnerCommandOutcome outcome, String reason) {}

    /** Answer to an order. */
    enum RunnerCommandOutcome {
        /** The runner carried it out. */
        DONE,
        /** The runner has seen a higher epoch. */
        FENCED,
        /** The address belongs to another incarnation. */
        RUNNER_REPLACED,
        /** The runner refused it. */
        REFUSED,
        /** No answer arrived. */
        UNKNOWN
    }

    /**
     * Answer to a hold.
     *
     * @param outcome whether there is a listing
     * @param status what the runner runs, null unless the outcome is {@link RunnerCommandOutcome#DONE}
     * @param reason what went wrong, for the log
     */
    record PollResponse(RunnerCommandOutcome outcome, RunnerStatus status, String reason) {}
}
