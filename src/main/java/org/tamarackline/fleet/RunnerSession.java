package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerCommand;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.StartResult;

/** A leader's exchange with one runner: its lease, its listings, and the orders to it. */
final class RunnerSession {

    /** What a session needs of its leader. */
    interface Callbacks {

        /** Returns whether orders may be given. */
        boolean maySendCommands();

        /** A start was sent whose answer is awaited. */
        void onStartSent();

        /** A start was answered, or will not be. */
        void onStartCompleted();

        /** A runner has seen a higher epoch. */
        void onFenced(String runner);

        /** Something changed that may make orders or a transaction due. */
        void requestSchedulingRound();
    }

    /** Unanswered holds after which a runner counts as silent for a while; a single one may be a connection's fault. */
    private static final int MISSED_POLLS_BEFORE_SILENCE = 2;

    private final LeaderContext context;
    private final Callbacks leader;
    private final long epoch;
    private final FleetRunner runner;

    private boolean closed;
    private boolean pollInFlight;
    private boolean pollScheduled;
    private int missedPolls;
    private boolean runnerClockKnown;
    private long runnerClockMs;
    private long runnerClockReadNanos;
    private long leaseEndNanos;
    private long lastAcknowledgedEnd;
    private long lastReportedEnd;
    private boolean lost;
    private long firstMissedPollNanos;
    private final RunnerCordon cordon = new RunnerCordon();

    /**
     * Creates a session that has not contacted its runner.
     *
     * @param leaseEndNanos when all that earlier leaders ordered has ended
     */
    RunnerSession(LeaderContext context, Callbacks leader, long epoch, FleetRunner runner, long leaseEndNanos) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.runner = runner;
        this.leaseEndNanos = leaseEndNanos;
    }

    /**
     * Takes note of when the runner took its last order of an earlier leader at the latest: when all of these had ended, or
     * when the runner answered this leader and thereby refuses the others. Does nothing once this leader gives orders.
     */
    void onEarlierLeadersEnded(long endedNanos) {
        long waitEndNanos = endedNanos + longestLeaseNanos();
        if (!runnerClockKnown && leaseEndNanos - waitEndNanos > 0) {
            leaseEndNanos = waitEndNanos;
        }
    }

    /** Returns the longest time from an order to the end of all that it started. */
    static long longestLeaseNanos() {
        return (long) (FleetConstants.RUNNER_LEASE.toNanos() / (1 - FleetConstants.MAX_CLOCK_DRIFT))
                + FleetConstants.LEASE_MARGIN.toNanos();
    }

    FleetRunner runner() {
        return runner;
    }

    void close() {
        closed = true;
    }

    /** Returns whether the leader needs nothing more of the runner. */
    boolean idle() {
        return !runner.busy() && lastAcknowledgedEnd >= lastReportedEnd;
    }

    /** Returns whether nothing that was ordered can still run or start on the runner. */
    boolean leaseExpired() {
        return context.loop().nowNanos() - leaseEndNanos > 0;
    }

    /** Returns when nothing that was ordered can still run or start on the runner. */
    long leaseEndNanos() {
        return leaseEndNanos;
    }

    /** Returns whether the runner did not answer the last hold. */
    boolean silent() {
        return missedPolls > 0;
    }

    /** Returns whether the runner has left a hold unanswered that was sent so long ago, and a further one. */
    boolean silentFor(Duration time) {
        return missedPolls >= MISSED_POLLS_BEFORE_SILENCE
                && context.loop().nowNanos() - firstMissedPollNanos >= time.toNanos();
    }

    RunnerCordon cordon() {
        return cordon;
    }

    /** Returns whether the session took its runner for lost since it last answered. */
    boolean lost() {
        return lost;
    }

    void markLost() {
        lost = true;
    }

    long lastProcessedEnd() {
        return runner.lastProcessedEnd();
    }

    /** Takes note that the ends up to a number are stored; confirms them to the runner. */
    void onEndsStored(long sequenceNumber) {
        if (sequenceNumber > lastAcknowledgedEnd) {
            lastAcknowledgedEnd = sequenceNumber;
            schedulePoll(Duration.ZERO);
        }
    }

    /** Asks for a listing after a delay unless one is under way or planned. */
    void schedulePoll(Duration delay) {
        if (closed || pollInFlight || (pollScheduled && !delay.isZero())) {
            return;
        }
        if (delay.isZero()) {
            poll();
            return;
        }
        pollScheduled = true;
        context.loop().schedule(delay, () -> {
            pollScheduled = false;
            if (!pollInFlight) {
                poll();
            }
        });
    }

    private void poll() {
        if (closed) {
            return;
        }
        if (!leader.maySendCommands()) {
            schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            return;
        }
        pollInFlight = true;
        long sentNanos = context.loop().nowNanos();
        boolean wait = runner.statusKnown() && runner.busy() && lastAcknowledgedEnd >= lastReportedEnd;
        // A silent runner may have got the holds it did not answer; its lease must still come to an end.
        boolean renew = runnerClockKnown && runner.busy() && missedPolls == 0 && !cordon.commandsBlocked();
        long leaseUntilMs = renew ? extendLease() : 0;
        context.runnerCalls()
                .poll(
                        runner.descriptor(),
                        epoch,
                        lastAcknowledgedEnd,
                        leaseUntilMs,
                        wait ? pollWaitMs() : 0,
                        response -> onPollResponse(response, sentNanos));
    }

    private int pollWaitMs() {
        return runner.hasColocatedTasks() ? FleetConstants.SHARED_POLL_WAIT_MS : FleetConstants.POLL_WAIT_MS;
    }

    private void onPollResponse(RunnerCalls.PollResponse response, long sentNanos) {
        pollInFlight = false;
        if (closed) {
            return;
        }
        if (missedPolls == 0) {
            firstMissedPollNanos = sentNanos;
        }
        switch (response.outcome()) {
            case DONE -> onStatus(response, sentNanos);
            case FENCED -> leader.onFenced(runner.id());
            case RUNNER_REPLACED -> {
                context.log().runnerLost(runner.id(), "another incarnation answers at its address");
                context.fleet().runnerLost(runner.id());
                markLost();
                leaseEndNanos = context.loop().nowNanos();
                missedPolls++;
                leader.requestSchedulingRound();
                schedulePoll(FleetConstants.IDLE_POLL_INTERVAL);
            }
            default -> {
                if (missedPolls == 0) {
                    context.log().runnerSilent(runner.id(), response.reason());
                }
                missedPolls++;
                context.fleet().runnerSilent(runner.id());
                schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            }
        }
    }

    private void onStatus(RunnerCalls.PollResponse response, long sentNanos) {
        long nowNanos = context.loop().nowNanos();
        if (missedPolls > 0 || lost) {
            context.log().runnerBack(runner.id(), missedPolls);
        }
        missedPolls = 0;
        lost = false;
        if (response.status().processStartEpochMs() != runner.processStartEpochMs()) {
            lastAcknowledgedEnd = 0;
        }
        if (!runnerClockKnown) {
            onEarlierLeadersEnded(nowNanos);
        }
        updateRunnerClock(response.status().clockMs(), nowNanos);
        context.fleet().applyStatus(runner, response.status(), sentNanos, nowNanos);
        lastReportedEnd = runner.lastProcessedEnd();
        leader.requestSchedulingRound();
        if (lastAcknowledgedEnd < lastReportedEnd) {
            schedulePoll(FleetConstants.ACKNOWLEDGE_DELAY);
        } else {
            schedulePoll(runner.busy() ? Duration.ZERO : FleetConstants.IDLE_POLL_INTERVAL);
        }
    }

    /** Makes sure that the lease of a run that was just started is renewed in time. */
    private void pollNow() {
        if (!pollInFlight) {
            schedulePoll(Duration.ZERO);
        }
    }

    private void updateRunnerClock(long clockMs, long nowNanos) {
        runnerClockKnown = true;
        runnerClockMs = clockMs;
        runnerClockReadNanos = nowNanos;
    }

    /** Returns the end of a lease that starts now, on the runner's clock, and takes note of when it ends at the latest. */
    private long extendLease() {
        long nowNanos = context.loop().nowNanos();
        double elapsedMs = (nowNanos - runnerClockReadNanos) / 1e6;
        long earliestClockMs = runnerClockMs + (long) (elapsedMs * (1 - FleetConstants.MAX_CLOCK_DRIFT));
        leaseEndNanos = Math.max(leaseEndNanos, nowNanos + longestLeaseNanos());
        return earliestClockMs + FleetConstants.RUNNER_LEASE.toMillis();
    }

    void send(RunnerCommand command) {
        switch (command) {
            case RunnerCommand.Start start -> start(start.run());
            case RunnerCommand.Stop stop -> stop(stop);
            case RunnerCommand.Throttle throttle -> throttle(throttle);
        }
    }

    private void start(Run run) {
        RunnerDescriptor descriptor = runner.descriptor();
        RunnerCalls.StartCommand command = new RunnerCalls.StartCommand(
                run.task().key(), run.number(), run.task().job().definition().spec(), run.checkpoint(), epoch);
        long sentNanos = context.loop().nowNanos();
        leader.onStartSent();
        context.runnerCalls().start(descriptor, command, extendLease(), response -> {
            leader.onStartCompleted();
            if (closed) {
                return;
            }
            context.log().startCompleted(run, epoch, response, sentNanos);
            if (response.outcome() == RunnerCalls.RunnerCommandOutcome.FENCED) {
                leader.onFenced(runner.id());
                return;
            }
            context.fleet()
                    .applyStartResult(run, response.result(), context.loop().nowNanos());
            if (response.result() == StartResult.STARTED) {
                pollNow();
            }
            if (response.result() == StartResult.RUNNER_REPLACED) {
                markLost();
            }
            leader.requestSchedulingRound();
        });
    }

    private void stop(RunnerCommand.Stop stop) {
        context.log().stopSent(runner.id(), stop.task(), stop.runNumber(), epoch);
        context.runnerCalls().stop(runner.descriptor(), stop.task(), stop.runNumber(), epoch, response -> {
            if (closed) {
                return;
            }
            if (response == RunnerCalls.RunnerCommandOutcome.FENCED) {
                leader.onFenced(runner.id());
            } else if (response == RunnerCalls.RunnerCommandOutcome.DONE) {
                context.fleet()
                        .applyStopConfirmation(
                                runner,
                                stop.task(),
                                stop.runNumber(),
                                context.loop().nowNanos());
                pollNow();
            }
        });
    }

    private void throttle(RunnerCommand.Throttle throttle) {
        Run run = throttle.run();
        if (throttle.changesSpeedState()) {
            context.log().throttleSent(run, throttle.speedPercent(), epoch);
        }
        context.runnerCalls()
                .throttle(
                        runner.descriptor(),
                        run.task().key(),
                        run.number(),
                        throttle.speedPercent(),
                        epoch,
                        response -> {
                            if (closed) {
                                return;
                            }
                            if (response == RunnerCalls.RunnerCommandOutcome.FENCED) {
                                leader.onFenced(runner.id());
                            } else if (response != RunnerCalls.RunnerCommandOutcome.DONE) {
                                context.fleet().throttleNotConfirmed(run);
                            }
                        });
    }
}
