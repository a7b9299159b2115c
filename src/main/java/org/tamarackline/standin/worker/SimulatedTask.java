package org.tamarackline.standin.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.task.WorkerProtocol.UsageSample;
import org.tamarackline.standin.worker.RunInterval.RunOutcome;

/** State and progress of one attempt of a simulated task. Guarded by the lock of its {@link WorkerModel}. */
final class SimulatedTask {

    private static final int FULL_SPEED_PERCENT = 100;
    private static final double NANOS_PER_MS = 1_000_000;

    private final StartRequest start;
    private final SimulatedCommand command;
    private final long startNanos;
    private final long startWorkMs;
    private final Deque<Measurement> measurements = new ArrayDeque<>();

    private double workDoneMs;
    private int throttlePercent = FULL_SPEED_PERCENT;
    private int speedPercent = FULL_SPEED_PERCENT;
    private RunOutcome outcome = RunOutcome.RUNNING;
    private Optional<Long> endNanos = Optional.empty();
    private Optional<String> checkpointKey;
    private Optional<String> resultKey = Optional.empty();
    private boolean finalCheckpointPending;

    SimulatedTask(StartRequest start, SimulatedCommand command, long startNanos, long startWorkMs) {
        this.start = start;
        this.command = command;
        this.startNanos = startNanos;
        this.startWorkMs = startWorkMs;
        this.workDoneMs = (double) startWorkMs;
        this.checkpointKey = start.checkpointKey();
    }

    TaskId id() {
        return start.taskId();
    }

    int attempt() {
        return start.attempt();
    }

    SimulatedCommand command() {
        return command;
    }

    Resources declared() {
        return start.resources();
    }

    boolean isRunning() {
        return outcome == RunOutcome.RUNNING;
    }

    int throttlePercent() {
        return throttlePercent;
    }

    void throttle(int percent) {
        throttlePercent = Math.clamp(percent, 1, FULL_SPEED_PERCENT);
    }

    /** Adds the work done in {@code elapsedNanos} at a speed of {@code percent}. */
    void addWork(long elapsedNanos, int percent) {
        speedPercent = percent;
        double addedMs = elapsedNanos / NANOS_PER_MS * percent / FULL_SPEED_PERCENT;
        workDoneMs = Math.min((double) command.workMs(), workDoneMs + addedMs);
    }

    boolean isWorkDone() {
        return workDoneMs >= command.workMs();
    }

    long workDoneMs() {
        return (long) workDoneMs;
    }

    /** Ends the run. If {@code needsCheckpoint} is true, a final checkpoint still has to be stored. */
    void end(RunOutcome finalOutcome, long atNanos, boolean needsCheckpoint) {
        outcome = finalOutcome;
        endNanos = Optional.of(atNanos);
        finalCheckpointPending = needsCheckpoint;
    }

    boolean isCheckpointAllowed() {
        return start.checkpointAllowed();
    }

    boolean isFinalCheckpointPending() {
        return finalCheckpointPending;
    }

    void recordCheckpoint(String key) {
        checkpointKey = Optional.of(key);
        if (!isRunning()) {
            finalCheckpointPending = false;
        }
    }

    void recordResult(String key) {
        resultKey = Optional.of(key);
    }

    void measure(long nowNanos) {
        measurements.addLast(new Measurement(nowNanos, speedPercent));
    }

    /** Returns the newest measurement taken no later than {@code maxTakenNanos}, and discards older ones. */
    Optional<UsageSample> latestSample(long nowNanos, long maxTakenNanos) {
        Measurement newest = null;
        while (!measurements.isEmpty() && measurements.getFirst().takenNanos() - maxTakenNanos <= 0) {
            newest = measurements.removeFirst();
        }
        if (newest == null) {
            return Optional.empty();
        }
        measurements.addFirst(newest);
        long takenAgoMs = (long) ((nowNanos - newest.takenNanos()) / NANOS_PER_MS);
        return Optional.of(new UsageSample(id(), attempt(), takenAgoMs, command.used(), newest.speedPercent()));
    }

    TaskReport report() {
        Optional<Integer> exitCode = outcome == RunOutcome.DONE || outcome == RunOutcome.FAILED
                ? Optional.of(command.exitCode())
                : Optional.empty();
        return new TaskReport(id(), attempt(), state(), checkpointKey, resultKey, exitCode, workDoneMs());
    }

    RunInterval interval() {
        return new RunInterval(id(), attempt(), startNanos, endNanos, outcome, startWorkMs, workDoneMs());
    }

    private TaskReportState state() {
        return switch (outcome) {
            case RUNNING -> TaskReportState.RUNNING;
            case DONE -> TaskReportState.DONE;
            case FAILED -> TaskReportState.FAILED;
            case STOPPED, LEASE_LAPSED -> TaskReportState.STOPPED;
        };
    }

    private record Measurement(long takenNanos, int speedPercent) {}
}
