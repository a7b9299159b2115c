package org.tamarackline.core.fleet;

/** Detects runs that make no progress. */
final class StallDetector {

    /** Time without progress after which a run counts as stalled. */
    private static final long STALL_NANOS = 2_500_000_000L;
    /** Fraction of the estimated duration that one percent of progress may take in addition to {@link #STALL_NANOS}. */
    private static final double STALL_FRACTION_OF_ESTIMATE = 0.15;

    private static final int FULL_SPEED_PERCENT = 100;

    private StallDetector() {}

    /** Returns whether a run at full speed makes no progress. */
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
