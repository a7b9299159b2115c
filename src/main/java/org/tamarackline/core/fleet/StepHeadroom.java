package org.tamarackline.core.fleet;

/**
 * Headroom that the serving tasks of one step have while nothing fills beside them.
 *
 * <p>The load of a step's tasks rises and falls together. A Kalman filter follows its level and trend from the readings of all
 * of them, each of which counts by its precision.
 */
final class StepHeadroom {

    private static final double INITIAL_VARIANCE = 4;
    private static final double INITIAL_TREND_VARIANCE = 0.5;

    /** Spectral density of the changes of the trend, per second cubed. */
    private static final double TREND_NOISE = 0.4;

    /** Time without readings after which the trend is no longer followed, in seconds. */
    private static final double MAX_GAP_S = 3;

    /** Time constant with which the lowest headroom is forgotten, in seconds. */
    private static final double LOWEST_S = 30;

    private double level;
    private double trendPerS;
    private double levelVariance;
    private double trendVariance;
    private double covariance;
    private double lowest;
    private long updatedNanos;
    private boolean known;

    /** Starts from a first reading. */
    void start(double reading, long nowNanos) {
        level = reading;
        lowest = known ? Math.min(lowest, reading) : reading;
        trendPerS = 0;
        levelVariance = INITIAL_VARIANCE;
        trendVariance = INITIAL_TREND_VARIANCE;
        covariance = 0;
        updatedNanos = nowNanos;
        known = true;
    }

    /** Moves level and trend to a later time. */
    void advance(long nowNanos) {
        double elapsedS = (nowNanos - updatedNanos) / 1e9;
        updatedNanos = nowNanos;
        if (elapsedS > MAX_GAP_S) {
            start(level, nowNanos);
            return;
        }
        double square = elapsedS * elapsedS;
        level += trendPerS * elapsedS;
        levelVariance += 2 * elapsedS * covariance + square * trendVariance + TREND_NOISE * square * elapsedS / 3;
        covariance += elapsedS * trendVariance + TREND_NOISE * square / 2;
        trendVariance += TREND_NOISE * elapsedS;
        lowest += Math.max(0, level - lowest) * (1 - Math.exp(-elapsedS / LOWEST_S));
    }

    /**
     * Takes note of a reading.
     *
     * @param error reading less the level of now
     * @param spread variance of {@code error}
     */
    void observe(double error, double spread) {
        double levelGain = levelVariance / spread;
        double trendGain = covariance / spread;
        level += levelGain * error;
        trendPerS += trendGain * error;
        trendVariance -= trendGain * covariance;
        covariance -= trendGain * levelVariance;
        levelVariance -= levelGain * levelVariance;
        lowest = Math.min(lowest, level);
    }

    boolean known() {
        return known;
    }

    /** Returns the level at the time of the last {@link #advance}. */
    double level() {
        return level;
    }

    /** Returns how uncertain {@link #level} is, as a variance. */
    double levelVariance() {
        return levelVariance;
    }

    /** Returns the headroom that a falling trend leads to, at least the lowest one of the last time. */
    double expected(double aheadS) {
        return Math.max(lowest, level + Math.min(0, trendPerS) * aheadS);
    }
}
