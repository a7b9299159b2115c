package org.tamarackline.fleet;

import java.util.function.Consumer;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerCommand;

/** Sends the stops and throttles of a leader to one runner. */
final class RunnerCommandSender {

    private final LeaderContext context;
    private final RunnerSession.Callbacks leader;
    private final long epoch;
    private final RunnerSession session;
    private final FleetRunner runner;

    RunnerCommandSender(LeaderContext context, RunnerSession.Callbacks leader, long epoch, RunnerSession session) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.session = session;
        this.runner = session.runner();
    }

    void stop(RunnerCommand.Stop stop) {
        context.log().stopSent(stop, epoch);
        long sentNanos = context.loop().nowNanos();
        send(stop, response -> {
            context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.STOP, response);
            if (session.closed()) {
                return;
            }
            if (response == RunnerCalls.RunnerCommandOutcome.FENCED) {
                leader.onFenced(runner.id());
            } else if (response == RunnerCalls.RunnerCommandOutcome.DONE) {
                confirmStop(stop, sentNanos);
                session.pollNow();
            } else {
                context.log().stopNotConfirmed(stop, response, sentNanos);
            }
        });
    }

    /** The runner has confirmed a stop; an earlier process of it may have, and the present one may still start the run. */
    private void confirmStop(RunnerCommand.Stop stop, long sentNanos) {
        if (!session.processLearnedSince(sentNanos)) {
            context.fleet()
                    .applyStopConfirmation(
                            runner,
                            stop.task(),
                            stop.runNumber(),
                            context.loop().nowNanos());
        }
    }

    /** Sends a stop; a repeated one on a new connection, because the one before may have met a connection gone silent. */
    private void send(RunnerCommand.Stop stop, Consumer<RunnerCalls.RunnerCommandOutcome> callback) {
        RunnerCalls calls = context.runnerCalls();
        if (stop.attempt() == 1) {
            calls.stop(runner.descriptor(), stop.task(), stop.runNumber(), epoch, callback);
        } else {
            calls.stopOnNewConnection(runner.descriptor(), stop.task(), stop.runNumber(), epoch, callback);
        }
    }

    void throttle(RunnerCommand.Throttle throttle) {
        Run run = throttle.run();
        if (throttle.changesSpeedState()) {
            context.log().throttleSent(run, throttle.speedPercent(), epoch);
        }
        RunnerCalls calls = context.runnerCalls();
        calls.throttle(
                runner.descriptor(), run.task().key(), run.number(), throttle.speedPercent(), epoch, response -> {
                    context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.THROTTLE, response);
                    if (session.closed()) {
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
