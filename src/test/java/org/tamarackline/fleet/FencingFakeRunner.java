package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;

/** Runner that several leaders reach: it rejects commands of lower epochs and records the polls of each leader. */
final class FencingFakeRunner implements RunnerCalls {

    static final RunnerDescriptor DESCRIPTOR = new RunnerDescriptor(
            "r", 1, "dispatch", "10.0.0.1:80", "dc", "", false, new Resources(16_000, 64_000, 0), Set.of());

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** Poll that the runner answered. */
    record Poll(long epoch, long atNanos, boolean renewsLease) {}

    private final ManualLoop loop;
    private final List<RunnerStatus.ActiveRun> activeRuns = new ArrayList<>();
    private final List<Poll> polls = new ArrayList<>();
    private final Map<Long, Long> lastCommandsNanos = new HashMap<>();
    private long highestEpoch;
    private boolean silent;

    FencingFakeRunner(ManualLoop loop) {
        this.loop = loop;
    }

    void stopResponding() {
        silent = true;
    }

    void resumeResponding() {
        silent = false;
    }

    List<Poll> polls() {
        return polls;
    }

    /** Returns the number of active runs. */
    int activeRunCount() {
        return activeRuns.size();
    }

    /** Returns when an epoch sent its last command or poll, whether or not the runner was silent. */
    long lastCommandNanos(long epoch) {
        return lastCommandsNanos.get(epoch);
    }

    /**
     * Returns the longest time without a lease renewal of epoch 1, until the first poll of a higher epoch or until now.
     *
     * @param fromNanos start of the time, at which the lease counts as renewed; 0 for the first renewal
     */
    Duration longestRenewalInterval(long fromNanos) {
        long renewedNanos = fromNanos;
        long longestNanos = 0;
        for (Poll poll : polls) {
            if (poll.atNanos() < fromNanos || (!poll.renewsLease() && poll.epoch() == 1)) {
                continue;
            }
            longestNanos = renewedNanos == 0 ? 0 : Math.max(longestNanos, poll.atNanos() - renewedNanos);
            renewedNanos = poll.atNanos();
            if (poll.epoch() > 1) {
                return Duration.ofNanos(longestNanos);
            }
        }
        return Duration.ofNanos(Math.max(longestNanos, loop.nowNanos() - renewedNanos));
    }

    private RunnerCommandOutcome accept(long epoch) {
        lastCommandsNanos.put(epoch, loop.nowNanos());
        if (silent) {
            return RunnerCommandOutcome.UNKNOWN;
        }
        if (epoch < highestEpoch) {
            return RunnerCommandOutcome.FENCED;
        }
        highestEpoch = epoch;
        return RunnerCommandOutcome.DONE;
    }

    private <T> void respond(RunnerCommandOutcome outcome, Consumer<T> callback, T response) {
        loop.schedule(
                outcome == RunnerCommandOutcome.UNKNOWN ? TIMEOUT : Duration.ofMillis(2),
                () -> callback.accept(response));
    }

    @Override
    public void start(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        RunnerCommandOutcome outcome = accept(command.epoch());
        if (outcome == RunnerCommandOutcome.DONE) {
            activeRuns.add(new RunnerStatus.ActiveRun(command.task(), command.runNumber(), "", 1, -1));
        }
        StartResult result = outcome == RunnerCommandOutcome.DONE ? StartResult.STARTED : StartResult.UNKNOWN;
        respond(outcome, callback, new StartResponse(result, outcome, ""));
    }

    @Override
    public void startOnNewConnection(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        start(runner, command, leaseUntilMs, callback);
    }

    @Override
    public void stop(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        RunnerCommandOutcome outcome = accept(epoch);
        respond(outcome, callback, outcome);
    }

    @Override
    public void stopOnNewConnection(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        stop(runner, task, runNumber, epoch, callback);
    }

    @Override
    public void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        RunnerCommandOutcome outcome = accept(epoch);
        respond(outcome, callback, outcome);
    }

    @Override
    public void poll(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        RunnerCommandOutcome outcome = accept(epoch);
        if (outcome != RunnerCommandOutcome.DONE) {
            respond(outcome, callback, new PollResponse(outcome, null, outcome.name()));
            return;
        }
        polls.add(new Poll(epoch, loop.nowNanos(), leaseUntilMs > 0));
        loop.schedule(
                Duration.ofMillis(Math.max(2, waitMs)),
                () -> callback.accept(new PollResponse(RunnerCommandOutcome.DONE, status(), "")));
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

    private RunnerStatus status() {
        return new RunnerStatus(1, loop.nowNanos() / 1_000_000, activeRuns, List.of());
    }
}
