package org.tamarackline.core.fleet;

/**
 * What was learned about one pair of images.
 *
 * @param headroom headroom that the filling image would take from the serving one if it used a whole runner
 * @param variance how uncertain {@code headroom} is, as a variance
 */
public record PairWeight(double headroom, double variance) {

    /** The estimate for a pair of which nothing is known: between that of harmless and that of harmful pairs. */
    static final PairWeight UNKNOWN = new PairWeight(2.5, 16);

    /** Keeps an estimate able to follow a change. */
    private static final double VARIANCE_GROWTH = 0.002;

    private static final double MIN_HEADROOM = 0.2;
    private static final double MAX_HEADROOM = 25;
    private static final double MIN_VARIANCE = 0.02;

    /** Returns this estimate within the bounds that an estimate may have. */
    PairWeight bounded() {
        double within = Math.max(MIN_HEADROOM, Math.min(MAX_HEADROOM, headroom));
        return new PairWeight(within, Math.max(MIN_VARIANCE, Math.min(UNKNOWN.variance(), variance)));
    }

    /**
     * Returns the estimate after an observation.
     *
     * @param error headroom that was missing beyond the estimates of all filling tasks
     * @param share part of the runner's processor time that the filling image used
     * @param spread variance of {@code error} as far as the estimates and the reading explain it
     */
    PairWeight observed(double error, double share, double spread) {
        double gain = variance * share / spread;
        return new PairWeight(headroom + gain * error, (1 - gain * share) * variance + VARIANCE_GROWTH).bounded();
    }
}
