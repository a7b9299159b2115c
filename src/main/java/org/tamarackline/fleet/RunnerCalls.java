package org.tamarackline.fleet;

import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;

/** Client for commands and polls to runners. Responses arrive on the event loop. */
public interface RunnerCalls {

    /**
     * Starts a run.
     *
     * @param leaseUntilMs end of the runner's lease on the runner's own clock, in milliseconds
     */
    void start(RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback);

    /**
     * Starts a run as {@link #start} does, but over a connection that is opened for it. A runner that has the run already
     * starts it no second time.
     */
    void startOnNewConnection(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback);

    /** Stops a run. The outcome is {@link RunnerCommandOutcome#DONE} if the runner stopped it or has no such run. */
    void stop(
            RunnerDescriptor runner, TaskKey task, long runNumber, long epoch, Consumer<RunnerCommandOutcome> callback);

    /**
     * Stops a run as {@link #stop} does, but over a connection that is opened for it, because connections that are already
     * open may have gone silent.
     */
    void stopOnNewConnection(
            RunnerDescriptor runner, TaskKey task, long runNumber, long epoch, Consumer<RunnerCommandOutcome> callback);

    /** Limits a run to a percentage of full speed. */
    void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback);

    /**
     * Polls a runner: renews the lease of all its runs, acknowledges ended runs and returns the runner's status.
     *
     * @param lastAcknowledgedEnd sequence number up to which the runner may discard ended runs
     * @param leaseUntilMs end of the lease on the runner's own clock in milliseconds, 0 to leave it unchanged
     * @param waitMs time in milliseconds for which the runner may wait for a further run to end
     */
    void poll(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback);

    /** Polls a runner as {@link #poll} does, but over a connection that is opened for it. */
    void pollOnNewConnection(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback);

    /**
     * Request to start a run.
     *
     * @param task task to run
     * @param runNumber number of the run
     * @param spec specification of the job
     * @param checkpoint checkpoint to resume from, empty for none
     * @param epoch fencing token
     */
    record StartCommand(TaskKey task, long runNumber, String spec, String checkpoint, long epoch) {}

    /**
     * Response to a start.
     *
     * @param result result of the start
     * @param outcome whether the runner accepts commands of this epoch
     * @param reason explanation by the runner, for the log
     */
    record StartResponse(StartResult result, RunnerCommandOutcome outcome, String reason) {}

    /** Outcome of a command or poll. */
    enum RunnerCommandOutcome {
        /** The runner executed it. */
        DONE,
        /** The runner has seen a higher epoch. */
        FENCED,
        /** Another incarnation of the runner answers at the address. */
        RUNNER_REPLACED,
        /** The runner refused it. */
        REFUSED,
        /** No response arrived. */
        UNKNOWN
    }

    /**
     * Response to a poll.
     *
     * @param outcome whether a status was returned
     * @param status status of the runner, null unless the outcome is {@link RunnerCommandOutcome#DONE}
     * @param reason cause of a failure, for the log
     */
    record PollResponse(RunnerCommandOutcome outcome, RunnerStatus status, String reason) {}
}
