package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Runners that a task avoids because it failed or stalled there.
 *
 * <p>That must not keep the task from running: after a delay it may run there again if it has no other choice, and after
 * a longer time it no longer avoids the runner.
 */
final class AvoidedRunners {

    /** Delay before a task without another choice runs again on a runner on which it failed once. */
    private static final long INITIAL_RETRY_DELAY_NANOS = 2_000_000_000L;

    private static final int MAX_DELAY_DOUBLINGS = 1;

    /** Time after which a task no longer avoids a runner. */
    private static final long MAX_AVOIDANCE_NANOS = 10_000_000_000L;

    private record Avoidance(int failures, long sinceNanos) {

        private long retryDelayNanos() {
            return INITIAL_RETRY_DELAY_NANOS << Math.min(failures - 1, MAX_DELAY_DOUBLINGS);
        }
    }

    private final Map<String, Avoidance> avoidances = new HashMap<>();

    boolean isEmpty() {
        return avoidances.isEmpty();
    }

    /** Avoids a runner on which the task failed or stalled. */
    void add(String runner, long nowNanos) {
        Avoidance earlier = avoidances.get(runner);
        avoidances.put(runner, new Avoidance(earlier == null ? 1 : earlier.failures() + 1, nowNanos));
    }

    /** Returns whether the task runs on another runner if it can. */
    boolean contains(String runner, long nowNanos) {
        Avoidance avoidance = avoidances.get(runner);
        return avoidance != null && nowNanos - avoidance.sinceNanos() < MAX_AVOIDANCE_NANOS;
    }

    /** Returns whether the task may run on a runner if it has no other choice. */
    boolean mayRetry(String runner, long nowNanos) {
        Avoidance avoidance = avoidances.get(runner);
        return avoidance == null || nowNanos - avoidance.sinceNanos() >= avoidance.retryDelayNanos();
    }
}
