package org.tamarackline.core.fleet;

/**
 * What was learned about one pair of images.
 *
 * @param headroomLoss headroom that the filling image would take from the serving one if it used a whole runner
 * @param variance how uncertain {@code headroom} is, as a variance
 */
public record InterferenceEstimate(double headroomLoss, double variance) {

    /** The estimate for a pair of which nothing is known: between that of harmless and that of harmful pairs. */
    static final InterferenceEstimate PRIOR = new InterferenceEstimate(2.5, 16);

    /** Keeps an estimate able to follow a change. */
    private static final double PROCESS_NOISE = 0.002;

    private static final double MIN_HEADROOM_LOSS = 0.2;
    private static final double MAX_HEADROOM_LOSS = 25;
    private static final double MIN_VARIANCE = 0.02;

    /** Returns this estimate within the bounds that an estimate may have. */
    InterferenceEstimate clamped() {
        double clampedLoss = Math.max(MIN_HEADROOM_LOSS, Math.min(MAX_HEADROOM_LOSS, headroomLoss));
        return new InterferenceEstimate(clampedLoss, Math.max(MIN_VARIANCE, Math.min(PRIOR.variance(), variance)));
    }

    /**
     * Returns the estimate after an observation.
     *
     * @param residual headroom that was missing beyond the estimates of all filling tasks
     * @param cpuShare part of the runner's processor time that the filling image used
     * @param residualVariance variance of {@code residual} as far as the estimates and the reading explain it
     */
    InterferenceEstimate updated(double residual, double cpuShare, double residualVariance) {
        double gain = variance * cpuShare / residualVariance;
        return new InterferenceEstimate(
                        headroomLoss + gain * residual, (1 - gain * cpuShare) * variance + PROCESS_NOISE)
                .clamped();
    }
}
