package org.tamarackline.fleet;

import java.util.function.Consumer;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.StartResult;

/**
 * Sends the starts of a session. Each is sent to a process that has just answered a poll, so that it does not reach one
 * that has restarted unnoticed. One without a response is repeated on a new connection.
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
    private final ProcessVerifier verifier;
    private final ProcessVerifier verifierOnNewConnections;
    private final StartVerification verification;
    private final RunnerLease lease;
    private final Session session;

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
        this.verifier = new ProcessVerifier(context, leader, epoch, process, session, false);
        this.verifierOnNewConnections = new ProcessVerifier(context, leader, epoch, process, session, true);
        this.verification = verification;
        this.lease = lease;
        this.session = session;
    }

    /** Verifies the process unless it is known, so that a start which is due soon does not wait for that. */
    void prepareStart() {
        verifier.prepare();
    }

    /**
     * Starts a run. Unless the runner's process is known, it is polled first: it may have restarted since, and a process
     * that has restarted neither knows the highest epoch nor rejects an expired lease.
     */
    void start(Run run) {
        leader.onStartSent();
        verifier.verify(result -> {
            if (result == ProcessVerifier.Result.ALIVE) {
                sendStartIfPermitted(run);
            } else {
                boolean late = result == ProcessVerifier.Result.ANSWERED_LATE;
                startNotSent(run, late ? StartResult.ANSWERED_LATE : StartResult.NOT_SENT);
            }
        });
    }

    private void sendStartIfPermitted(Run run) {
        if (permitted(run)) {
            sendStart(run);
        } else {
            startNotSent(run, StartResult.NOT_SENT);
        }
    }

    /** Returns whether the leader may send a start, and the runner has not changed since the start was decided. */
    private boolean permitted(Run run) {
        return leader.maySendCommands() && lease.extendable() && context.fleet().maySendStart(run);
    }

    private void startNotSent(Run run, StartResult result) {
        leader.onStartCompleted();
        if (!session.closed()) {
            context.fleet().applyStartResult(run, result, context.loop().nowNanos());
            leader.requestSchedulingRound();
        }
    }

    private void sendStart(Run run) {
        long sentNanos = context.loop().nowNanos();
        verification.onStartSent(sentNanos);
        RepeatedStart.send(context.loop(), new RunAttempts(run, sentNanos), new RepeatedStart.Listener() {

            @Override
            public void onOutcome(RunnerCalls.StartResponse response, long answeredAttemptNanos) {
                onStartCompleted(run, response, sentNanos, answeredAttemptNanos);
            }

            @Override
            public void onAllAnswered() {
                context.fleet().startAnswered(run);
            }
        });
    }

    private void onStartCompleted(
            Run run, RunnerCalls.StartResponse response, long sentNanos, long answeredAttemptNanos) {
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
        context.fleet().applyStartResult(run, response.result(), context.loop().nowNanos());
        if (response.result() == StartResult.STARTED || response.result() == StartResult.UNKNOWN) {
            session.onStarted();
        }
        if (response.outcome() == RunnerCalls.RunnerCommandOutcome.RUNNER_REPLACED) {
            session.onProcessEnded(answeredAttemptNanos);
        }
        leader.requestSchedulingRound();
    }

    /** Sends the attempts to start one run, both to the same process of the runner. */
    private final class RunAttempts implements RepeatedStart.Attempts {

        private final Run run;
        private final long sentNanos;
        private final long processStartEpochMs;

        RunAttempts(Run run, long sentNanos) {
            this.run = run;
            this.sentNanos = sentNanos;
            this.processStartEpochMs = runner.processStartEpochMs();
        }

        @Override
        public void send(Consumer<RunnerCalls.StartResponse> callback) {
            context.fleet().startSent(run, context.loop().nowNanos());
            context.runnerCalls().start(runner.descriptor(), command(), leaseUntilMs(), counted(callback));
        }

        @Override
        public void whenRepeatable(Runnable action) {
            if (!repeatable()) {
                return;
            }
            verifierOnNewConnections.verify(result -> {
                if (result == ProcessVerifier.Result.ALIVE && repeatable()) {
                    action.run();
                }
            });
        }

        private boolean repeatable() {
            // The attempt may reach a process that has restarted since, which grants the longest lease.
            return !session.closed()
                    && permitted(run)
                    && lease.extendable(verification.allVerified())
                    && runner.processStartEpochMs() == processStartEpochMs;
        }

        @Override
        public void repeat(Consumer<RunnerCalls.StartResponse> callback) {
            context.log().startRepeated(run, epoch, sentNanos);
            context.fleet().startSent(run, context.loop().nowNanos());
            context.runnerCalls()
                    .startOnNewConnection(runner.descriptor(), command(), leaseUntilMs(), counted(callback));
        }

        private RunnerCalls.StartCommand command() {
            return new RunnerCalls.StartCommand(
                    run.task().key(),
                    run.number(),
                    run.task().job().definition().spec(),
                    run.checkpoint(),
                    epoch);
        }

        private long leaseUntilMs() {
            return lease.extend(verification.allVerified());
        }

        private Consumer<RunnerCalls.StartResponse> counted(Consumer<RunnerCalls.StartResponse> callback) {
            return response -> {
                context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.START, response.outcome());
                callback.accept(response);
            };
        }
    }
}
