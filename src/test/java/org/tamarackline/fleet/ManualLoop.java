package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Event loop on a clock that the test advances. */
final class ManualLoop implements EventLoop {

    private record Step(long atNanos, long order, Runnable action) {}

    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::order));
    private long nowNanos = 1;
    private long orders;

    @Override
    public void execute(Runnable step) {
        schedule(Duration.ZERO, step);
    }

    @Override
    public void schedule(Duration delay, Runnable step) {
        steps.add(new Step(nowNanos + delay.toNanos(), orders++, step));
    }

    @Override
    public long nowNanos() {
        return nowNanos;
    }

    /** Advances the clock and runs the steps that become due. */
    void advance(Duration time) {
        long endNanos = nowNanos + time.toNanos();
        while (!steps.isEmpty() && steps.peek().atNanos() <= endNanos) {
            Step step = steps.poll();
            nowNanos = Math.max(nowNanos, step.atNanos());
            step.action().run();
        }
        nowNanos = endNanos;
    }
}
