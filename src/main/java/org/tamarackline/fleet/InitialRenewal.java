package org.tamarackline.fleet;

import org.tamarackline.core.fleet.FleetRunner;

/**
 * Renews the lease of one runner while a new leader still reads the jobs, so that the runs on it outlive a slow takeover.
 *
 * <p>The first poll tells the runner's clock, and further ones renew the lease. Their statuses are not applied, because
 * the leader does not know the jobs of the runs yet. A runner that leaves a poll unanswered is not polled again: it may
 * have received the poll, and its lease has to expire.
 */
final class InitialRenewal {

    private final LeaderContext context;
    private final RunnerSession.Callbacks leader;
    private final long epoch;
    private final FleetRunner runner;
    private final RunnerLease lease;
    private final RunnerCordon cordon;
    private final FirstReport firstReport;
    private boolean stopped;
    private long processStartEpochMs;

    InitialRenewal(
            LeaderContext context,
            RunnerSession.Callbacks leader,
            long epoch,
            FleetRunner runner,
            RunnerLease lease,
            RunnerCordon cordon,
            FirstReport firstReport) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.runner = runner;
        this.lease = lease;
        this.cordon = cordon;
        this.firstReport = firstReport;
    }

    /** Stops to renew the lease and ignores responses that are on their way. */
    void stop() {
        stopped = true;
    }

    /** Renews the lease; the callback runs once the runner has answered, or if nothing is to be renewed. */
    void renew(Runnable callback) {
        if (stopped || cordon.commandsBlocked() || !leader.maySendCommands()) {
            callback.run();
            return;
        }
        boolean clockKnown = lease.runnerClockKnown();
        // This leader has sent no start yet, so no run can be on a process other than the one that has answered.
        long leaseUntilMs = clockKnown && lease.extendable() ? lease.extend(true) : 0;
        firstReport.onPollSent();
        context.runnerCalls().poll(runner.descriptor(), epoch, 0, leaseUntilMs, 0, response -> {
            context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.POLL, response.outcome());
            if (!stopped) {
                onResponse(response);
            }
            if (clockKnown || stopped) {
                callback.run();
            } else {
                renew(callback);
            }
        });
    }

    private void onResponse(RunnerCalls.PollResponse response) {
        switch (response.outcome()) {
            case DONE -> onAnswer(response);
            case FENCED -> {
                stopped = true;
                leader.onFenced(runner.id());
            }
            default -> stopped = true;
        }
    }

    private void onAnswer(RunnerCalls.PollResponse response) {
        long startEpochMs = response.status().processStartEpochMs();
        firstReport.onPollAnswered();
        if (!lease.runnerClockKnown()) {
            processStartEpochMs = startEpochMs;
            // From now on the runner rejects commands of earlier leaders.
            lease.onEarlierLeadersEnded(context.loop().nowNanos());
        } else if (startEpochMs != processStartEpochMs) {
            lease.onProcessChanged();
            stopped = true;
        }
        lease.readRunnerClock(response.status().clockMs());
    }
}
