package org.tamarackline.core.fleet;

/** Ends runs that stand still. */
final class StallDetector {

    /** Time without progress after which a run is taken to stand still. */
    private static final long STALL_NANOS = 2_500_000_000L;
    /** Part of the estimated duration that one percent of progress may take beyond {@link #STALL_NANOS}. */
    private static final double STALL_FRACTION_OF_ESTIMATE = 0.15;

    private static final int FULL_SPEED_PERCENT = 100;

    private StallDetector() {}

    /** Returns whether a run makes no progress although nothing slows it. */
    static boolean isStalled(Run run, long nowNanos) {
        StepDefinition step = run.task().step();
        if (run.phase != Run.Phase.RUNNING
                || step.longRunning()
                || step.gang()
                || run.speedPercent < FULL_SPEED_PERCENT) {
            return false;
        }
        long limitNanos = STALL_NANOS + (long) (STALL_FRACTION_OF_ESTIMATE * step.estimatedDurationMs() * 1e6);
        return nowNanos - run.lastProgressNanos > limitNanos;
    }
}
