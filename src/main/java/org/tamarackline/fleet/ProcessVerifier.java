package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.FleetRunner;

/**
 * Polls a runner before a start, so that the start does not reach a process that has restarted unnoticed. A poll that has
 * no response in time is repeated once, on a new connection.
 */
final class ProcessVerifier {

    /** What is known of the process. */
    enum Result {
        /** The known process was alive just before. */
        ALIVE,
        /** The known process has answered, but may have been replaced while its answer was on its way. */
        ANSWERED_LATE,
        /** The known process has not answered. */
        NOT_VERIFIED
    }

    /**
     * Response to one poll.
     *
     * @param repetition whether the poll repeats another one
     */
    private record Answer(RunnerCalls.PollResponse response, long sentNanos, boolean repetition) {

        /** Returns whether nothing else is awaited. The first poll has waited long enough when its time is over. */
        boolean last() {
            return !repetition || response.outcome() != RunnerCalls.RunnerCommandOutcome.UNKNOWN;
        }
    }

    private final LeaderContext context;
    private final RunnerSession.Callbacks leader;
    private final long epoch;
    private final FleetRunner runner;
    private final ProcessConfirmation process;
    private final RunStarter.Session session;
    private final boolean onNewConnections;
    private final List<Consumer<Result>> waiting = new ArrayList<>();
    private boolean verifying;

    /**
     * Creates a verifier of the process that a session knows.
     *
     * @param onNewConnections whether a connection is opened for the first poll too
     */
    ProcessVerifier(
            LeaderContext context,
            RunnerSession.Callbacks leader,
            long epoch,
            ProcessConfirmation process,
            RunStarter.Session session,
            boolean onNewConnections) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.runner = session.runner();
        this.process = process;
        this.session = session;
        this.onNewConnections = onNewConnections;
    }

    /** Verifies the process unless it is known, so that a start which is due soon does not wait for that. */
    void prepare() {
        if (!aliveWithin(FleetConstants.PROCESS_KNOWN_TIME.dividedBy(2))) {
            pollUnlessVerifying();
        }
    }

    /** Verifies the process, without a poll if it was alive just before. */
    void verify(Consumer<Result> callback) {
        if (aliveWithin(FleetConstants.PROCESS_KNOWN_TIME)) {
            callback.accept(Result.ALIVE);
            return;
        }
        waiting.add(callback);
        pollUnlessVerifying();
    }

    private boolean aliveWithin(Duration time) {
        return process.aliveSince(context.loop().nowNanos() - time.toNanos());
    }

    private void pollUnlessVerifying() {
        if (verifying) {
            return;
        }
        verifying = true;
        RepeatedRead.start(
                context.loop(),
                onAnswer -> poll(onNewConnections, false, onAnswer),
                this::repeatPoll,
                Answer::last,
                () -> {},
                this::onAnswer);
    }

    private void repeatPoll(Consumer<Answer> onAnswer) {
        if (!session.closed() && leader.maySendCommands()) {
            poll(true, true, onAnswer);
            return;
        }
        RunnerCalls.PollResponse notSent =
                new RunnerCalls.PollResponse(RunnerCalls.RunnerCommandOutcome.UNKNOWN, null, "not sent");
        onAnswer.accept(new Answer(notSent, context.loop().nowNanos(), true));
    }

    private void poll(boolean onNewConnection, boolean repetition, Consumer<Answer> onAnswer) {
        RunnerCalls calls = context.runnerCalls();
        long sentNanos = context.loop().nowNanos();
        Consumer<RunnerCalls.PollResponse> callback = response -> {
            context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.VERIFICATION, response.outcome());
            onAnswer.accept(new Answer(response, sentNanos, repetition));
        };
        if (onNewConnection) {
            calls.pollOnNewConnection(runner.descriptor(), epoch, 0, 0, 0, callback);
        } else {
            calls.poll(runner.descriptor(), epoch, 0, 0, 0, callback);
        }
    }

    private void onAnswer(Answer answer) {
        verifying = false;
        List<Consumer<Result>> callbacks = List.copyOf(waiting);
        waiting.clear();
        Result result = resultOf(answer);
        callbacks.forEach(callback -> callback.accept(result));
        if (result != Result.ALIVE && !session.closed()) {
            session.onNotVerified(answer.response(), answer.sentNanos());
        }
    }

    private Result resultOf(Answer answer) {
        RunnerCalls.PollResponse response = answer.response();
        if (session.closed() || !answersAsKnownProcess(response)) {
            return Result.NOT_VERIFIED;
        }
        process.onPollAnswered(
                answer.sentNanos(), response.status().clockMs(), context.loop().nowNanos());
        return aliveWithin(FleetConstants.MIN_RESTART_TIME) ? Result.ALIVE : Result.ANSWERED_LATE;
    }

    private boolean answersAsKnownProcess(RunnerCalls.PollResponse response) {
        return response.outcome() == RunnerCalls.RunnerCommandOutcome.DONE
                && process.confirmed()
                && process.is(response.status().processStartEpochMs());
    }
}
