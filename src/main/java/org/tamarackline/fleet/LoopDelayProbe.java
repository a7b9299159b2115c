package org.tamarackline.fleet;

import java.time.Duration;

/** Measures at intervals by how much a step of the event loop is late, whether or not the node leads. */
final class LoopDelayProbe {

    static final Duration INTERVAL = Duration.ofMillis(250);

    private final EventLoop loop;
    private final FleetMetrics metrics;

    LoopDelayProbe(EventLoop loop, FleetMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    void start() {
        long dueNanos = loop.nowNanos() + INTERVAL.toNanos();
        loop.schedule(INTERVAL, () -> {
            metrics.loopDelayed(loop.nowNanos() - dueNanos);
            start();
        });
    }
}
