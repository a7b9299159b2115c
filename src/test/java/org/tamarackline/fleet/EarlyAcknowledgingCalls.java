package org.tamarackline.fleet;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;

/** Calls to runners with a defect: each poll acknowledges all ends that the previous one returned. */
final class EarlyAcknowledgingCalls implements RunnerCalls {

    private final RunnerCalls calls;
    private final Map<String, Long> lastReportedEnds = new TreeMap<>();

    EarlyAcknowledgingCalls(RunnerCalls calls) {
        this.calls = calls;
    }

    @Override
    public void start(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        calls.start(runner, command, leaseUntilMs, callback);
    }

    @Override
    public void startOnNewConnection(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        calls.startOnNewConnection(runner, command, leaseUntilMs, callback);
    }

    @Override
    public void stop(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        calls.stop(runner, task, runNumber, epoch, callback);
    }

    @Override
    public void stopOnNewConnection(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        calls.stopOnNewConnection(runner, task, runNumber, epoch, callback);
    }

    @Override
    public void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        calls.throttle(runner, task, runNumber, speedPercent, epoch, callback);
    }

    @Override
    public void poll(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        long acknowledged = lastReportedEnds.getOrDefault(runner.id(), lastAcknowledgedEnd);
        calls.poll(runner, epoch, acknowledged, leaseUntilMs, waitMs, response -> {
            if (response.status() != null) {
                lastReportedEnds.put(runner.id(), lastEndOf(response.status()));
            }
            callback.accept(response);
        });
    }

    @Override
    public void pollOnNewConnection(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        poll(runner, epoch, lastAcknowledgedEnd, leaseUntilMs, waitMs, callback);
    }

    private static long lastEndOf(RunnerStatus status) {
        return status.endedRuns().isEmpty() ? 0 : status.endedRuns().getLast().sequenceNumber();
    }
}
