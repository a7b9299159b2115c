package org.tamarackline.core.fleet;

/**
 * Estimated headroom loss for one pair of a latency-critical and a best-effort image.
 *
 * @param headroomLoss headroom that the best-effort image would take if it used a whole runner
 * @param variance variance of {@code headroomLoss}
 */
public record InterferenceEstimate(double headroomLoss, double variance) {

    /** Estimate for a pair without measurements, between those of harmless and of strongly interfering pairs. */
    static final InterferenceEstimate PRIOR = new InterferenceEstimate(2.5, 16);

    /** Variance added with each measurement, so that the estimate can follow a change. */
    private static final double PROCESS_NOISE = 0.002;

    private static final double MIN_HEADROOM_LOSS = 0.2;
    private static final double MAX_HEADROOM_LOSS = 25;
    private static final double MIN_VARIANCE = 0.02;

    /** Returns this estimate, limited to the permitted range. */
    InterferenceEstimate clamped() {
        double clampedLoss = Math.max(MIN_HEADROOM_LOSS, Math.min(MAX_HEADROOM_LOSS, headroomLoss));
        return new InterferenceEstimate(clampedLoss, Math.max(MIN_VARIANCE, Math.min(PRIOR.variance(), variance)));
    }

    /**
     * Returns the estimate after a measurement.
     *
     * @param residual headroom that is missing beyond the estimated losses of all best-effort tasks
     * @param cpuShare fraction of the runner's processor time that the best-effort image used
     * @param residualVariance variance of {@code residual} that the estimates and the measurement explain
     */
    InterferenceEstimate updated(double residual, double cpuShare, double residualVariance) {
        double gain = variance * cpuShare / residualVariance;
        return new InterferenceEstimate(
                        headroomLoss + gain * residual, (1 - gain * cpuShare) * variance + PROCESS_NOISE)
                .clamped();
    }
}
