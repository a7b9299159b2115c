package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.StartResult;

/**
 * Sends the starts of a session. Each is sent to a process that has just answered a poll, so that it does not reach one
 * that has restarted unnoticed.
 */
final class RunStarter {

    /** The session that the starts belong to. */
    interface Session {

        /** Returns the runner of the session. */
        FleetRunner runner();

        /** Returns whether responses no longer matter. */
        boolean closed();

        /** The runner has started a run, or may have. */
        void onStarted();

        /** The runner's process has ended, by the response to a request that was sent at this time. */
        void onProcessEnded(long sentNanos);

        /** A poll that should verify the process got this response; no start was sent. */
        void onNotVerified(RunnerCalls.PollResponse response, long sentNanos);
    }

    private final LeaderContext context;
    private final RunnerSession.Callbacks leader;
    private final long epoch;
    private final FleetRunner runner;
    private final ProcessConfirmation process;
    private final StartVerification verification;
    private final RunnerLease lease;
    private final Session session;

    private boolean verifyingProcess;

    /** Starts that wait for the response of a poll that verifies the process. */
    private final List<Run> unsentStarts = new ArrayList<>();

    RunStarter(
            LeaderContext context,
            RunnerSession.Callbacks leader,
            long epoch,
            ProcessConfirmation process,
            StartVerification verification,
            RunnerLease lease,
            Session session) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.runner = session.runner();
        this.process = process;
        this.verification = verification;
        this.lease = lease;
        this.session = session;
    }

    /** Verifies the process unless it is known, so that a start which is due soon does not wait for that. */
    void prepareStart() {
        if (!verifyingProcess && !processAliveWithin(FleetConstants.PROCESS_KNOWN_TIME.dividedBy(2))) {
            verifyProcess();
        }
    }

    /**
     * Starts a run. Unless the runner's process is known, it is polled first: it may have restarted since, and a process
     * that has restarted neither knows the highest epoch nor rejects an expired lease.
     */
    void start(Run run) {
        leader.onStartSent();
        if (processAliveWithin(FleetConstants.PROCESS_KNOWN_TIME)) {
            sendStartIfPermitted(run);
            return;
        }
        unsentStarts.add(run);
        if (!verifyingProcess) {
            verifyProcess();
        }
    }

    private boolean processAliveWithin(Duration time) {
        return process.aliveSince(context.loop().nowNanos() - time.toNanos());
    }

    private void verifyProcess() {
        verifyingProcess = true;
        long sentNanos = context.loop().nowNanos();
        context.runnerCalls().poll(runner.descriptor(), epoch, 0, 0, 0, response -> {
            context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.VERIFICATION, response.outcome());
            verifyingProcess = false;
            List<Run> runs = List.copyOf(unsentStarts);
            unsentStarts.clear();
            if (!session.closed() && answersAsKnownProcess(response)) {
                process.onPollAnswered(
                        sentNanos, response.status().clockMs(), context.loop().nowNanos());
                // The process may have been replaced while an older answer was on its way.
                if (processAliveWithin(FleetConstants.MIN_RESTART_TIME)) {
                    runs.forEach(this::sendStartIfPermitted);
                    return;
                }
                runs.forEach(run -> startNotSent(run, StartResult.ANSWERED_LATE));
            } else {
                runs.forEach(run -> startNotSent(run, StartResult.NOT_SENT));
            }
            if (!session.closed()) {
                session.onNotVerified(response, sentNanos);
            }
        });
    }

    private boolean answersAsKnownProcess(RunnerCalls.PollResponse response) {
        return response.outcome() == RunnerCalls.RunnerCommandOutcome.DONE
                && process.confirmed()
                && process.is(response.status().processStartEpochMs());
    }

    /** Sends a start, unless the leader may no longer do so or the runner has changed since the start was decided. */
    private void sendStartIfPermitted(Run run) {
        if (leader.maySendCommands() && lease.extendable() && context.fleet().maySendStart(run)) {
            sendStart(run);
        } else {
            startNotSent(run, StartResult.NOT_SENT);
        }
    }

    private void startNotSent(Run run, StartResult result) {
        leader.onStartCompleted();
        if (!session.closed()) {
            context.fleet().applyStartResult(run, result, context.loop().nowNanos());
            leader.requestSchedulingRound();
        }
    }

    private void sendStart(Run run) {
        RunnerDescriptor descriptor = runner.descriptor();
        RunnerCalls.StartCommand command = new RunnerCalls.StartCommand(
                run.task().key(), run.number(), run.task().job().definition().spec(), run.checkpoint(), epoch);
        long sentNanos = context.loop().nowNanos();
        verification.onStartSent(sentNanos);
        context.runnerCalls().start(descriptor, command, lease.extend(verification.allVerified()), response -> {
            context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.START, response.outcome());
            leader.onStartCompleted();
            verification.onStartCompleted(
                    response.result() != StartResult.UNKNOWN, context.loop().nowNanos());
            if (session.closed()) {
                return;
            }
            context.log().startCompleted(run, epoch, response, sentNanos);
            if (response.outcome() == RunnerCalls.RunnerCommandOutcome.FENCED) {
                leader.onFenced(runner.id());
                return;
            }
            context.fleet()
                    .applyStartResult(run, response.result(), context.loop().nowNanos());
            if (response.result() == StartResult.STARTED || response.result() == StartResult.UNKNOWN) {
                session.onStarted();
            }
            if (response.result() == StartResult.RUNNER_REPLACED) {
                session.onProcessEnded(sentNanos);
            }
            leader.requestSchedulingRound();
        });
    }
}
