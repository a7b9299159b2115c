package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;

/** Calls of one node to {@link ProtocolRunner}s. */
final class ProtocolRunnerCalls implements RunnerCalls {

    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final ManualLoop loop;
    private final Duration taskDuration;
    private final Map<String, ProtocolRunner> runners = new HashMap<>();
    private int statusesToLose;

    /**
     * Creates calls without runners.
     *
     * @param taskDuration how long each run takes
     */
    ProtocolRunnerCalls(ManualLoop loop, Duration taskDuration) {
        this.loop = loop;
        this.taskDuration = taskDuration;
    }

    void add(ProtocolRunner runner) {
        runners.put(runner.id(), runner);
    }

    /** Loses the next responses to polls, which still take effect. */
    void loseStatuses(int count) {
        statusesToLose = count;
    }

    private RunnerCommandOutcome accept(ProtocolRunner runner, long epoch) {
        return runner.accepts(epoch) ? RunnerCommandOutcome.DONE : RunnerCommandOutcome.FENCED;
    }

    private <T> void respond(Consumer<T> callback, Supplier<T> response) {
        loop.schedule(LATENCY, () -> {
            T result = response.get();
            loop.schedule(LATENCY, () -> callback.accept(result));
        });
    }

    @Override
    public void start(
            RunnerDescriptor descriptor, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        ProtocolRunner runner = runners.get(descriptor.id());
        respond(callback, () -> {
            RunnerCommandOutcome outcome = accept(runner, command.epoch());
            boolean started = outcome == RunnerCommandOutcome.DONE
                    && runner.start(command.task(), command.runNumber(), command.epoch(), leaseUntilMs, taskDuration);
            return new StartResponse(started ? StartResult.STARTED : StartResult.REFUSED, outcome, "");
        });
    }

    @Override
    public void stop(
            RunnerDescriptor descriptor,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        ProtocolRunner runner = runners.get(descriptor.id());
        respond(callback, () -> {
            RunnerCommandOutcome outcome = accept(runner, epoch);
            if (outcome == RunnerCommandOutcome.DONE) {
                runner.stop(task, runNumber);
            }
            return outcome;
        });
    }

    @Override
    public void throttle(
            RunnerDescriptor descriptor,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        respond(callback, () -> accept(runners.get(descriptor.id()), epoch));
    }

    @Override
    public void poll(
            RunnerDescriptor descriptor,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        ProtocolRunner runner = runners.get(descriptor.id());
        loop.schedule(LATENCY, () -> {
            if (!runner.accepts(epoch)) {
                callback.accept(new PollResponse(RunnerCommandOutcome.FENCED, null, "fence"));
                return;
            }
            runner.poll(lastAcknowledgedEnd, leaseUntilMs);
            new WaitingPoll(runner, callback).respondWithin(Duration.ofMillis(waitMs));
        });
    }

    /** A poll that the runner answers when a run ends or the wait is over. */
    private final class WaitingPoll {

        private final ProtocolRunner runner;
        private final Consumer<PollResponse> callback;
        private boolean answered;

        WaitingPoll(ProtocolRunner runner, Consumer<PollResponse> callback) {
            this.runner = runner;
            this.callback = callback;
        }

        void respondWithin(Duration wait) {
            if (wait.isZero() || runner.hasEndedRuns()) {
                respond();
                return;
            }
            runner.onNextEnd(this::respond);
            loop.schedule(wait, this::respond);
        }

        private void respond() {
            if (answered) {
                return;
            }
            answered = true;
            if (statusesToLose > 0) {
                statusesToLose--;
                PollResponse noResponse = new PollResponse(RunnerCommandOutcome.UNKNOWN, null, "no response");
                loop.schedule(TIMEOUT, () -> callback.accept(noResponse));
                return;
            }
            PollResponse response = new PollResponse(RunnerCommandOutcome.DONE, runner.status(), "");
            loop.schedule(LATENCY, () -> callback.accept(response));
        }
    }
}
