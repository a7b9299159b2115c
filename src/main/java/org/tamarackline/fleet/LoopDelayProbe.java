package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.LongConsumer;

/** Measures at intervals by how much a step of the event loop is late, whether or not the node leads. */
final class LoopDelayProbe {

    static final Duration INTERVAL = Duration.ofMillis(250);

    private final EventLoop loop;
    private final FleetMetrics metrics;
    private final LongConsumer onStep;

    /**
     * Creates a probe.
     *
     * @param onStep receives when each step was due, in nanoseconds
     */
    LoopDelayProbe(EventLoop loop, FleetMetrics metrics, LongConsumer onStep) {
        this.loop = loop;
        this.metrics = metrics;
        this.onStep = onStep;
    }

    void start() {
        long dueNanos = loop.nowNanos() + INTERVAL.toNanos();
        loop.schedule(INTERVAL, () -> {
            metrics.loopDelayed(loop.nowNanos() - dueNanos);
            onStep.accept(dueNanos);
            start();
        });
    }
}
