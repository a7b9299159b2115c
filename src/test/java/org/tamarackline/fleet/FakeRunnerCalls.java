package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerListing;
import org.tamarackline.core.fleet.RunnerReport;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;

/** A runner that starts whatever it is told to, and falls silent when the test says so. */
final class FakeRunnerCalls implements RunnerCalls {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ManualLoop loop;
    private final List<RunnerListing.RunningRow> running = new ArrayList<>();
    private boolean silent;

    FakeRunnerCalls(ManualLoop loop) {
        this.loop = loop;
    }

    void fallSilent() {
        silent = true;
    }

    @Override
    public void start(RunnerReport runner, StartCommand command, long leaseUntilMs, Consumer<StartAnswer> done) {
        running.add(new RunnerListing.RunningRow(command.task(), command.run(), "", 1, -1));
        loop.execute(() -> done.accept(new StartAnswer(StartResult.STARTED, OrderAnswer.DONE, "")));
    }

    @Override
    public void stop(RunnerReport runner, TaskKey task, long run, long epoch, Consumer<OrderAnswer> done) {
        loop.schedule(TIMEOUT, () -> done.accept(silent ? OrderAnswer.UNKNOWN : OrderAnswer.DONE));
    }

    @Override
    public void pace(RunnerReport runner, TaskKey task, long run, int percent, long epoch, Consumer<OrderAnswer> done) {
        loop.execute(() -> done.accept(OrderAnswer.DONE));
    }

    @Override
    public void hold(
            RunnerReport runner,
            long epoch,
            long confirmedEnds,
            long leaseUntilMs,
            int waitMs,
            Consumer<HoldAnswer> done) {
        if (silent) {
            loop.schedule(TIMEOUT, () -> done.accept(new HoldAnswer(OrderAnswer.UNKNOWN, null, "no answer")));
            return;
        }
        loop.schedule(Duration.ofMillis(waitMs), () -> {
            long clockMs = loop.nowNanos() / 1_000_000;
            done.accept(new HoldAnswer(OrderAnswer.DONE, new RunnerListing(1, clockMs, running, List.of()), ""));
        });
    }
}
