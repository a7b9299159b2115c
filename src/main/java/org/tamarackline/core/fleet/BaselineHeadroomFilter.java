package org.tamarackline.core.fleet;

/**
 * Tracks the baseline headroom of the latency-critical tasks of one step: the headroom that they have without
 * best-effort tasks on their runners.
 *
 * <p>The load of a step's tasks rises and falls together. A Kalman filter estimates the level and trend of the headroom
 * from the measurements of all tasks, each weighted by its precision.
 */
final class BaselineHeadroomFilter {

    private static final double INITIAL_VARIANCE = 4;
    private static final double INITIAL_TREND_VARIANCE = 0.5;

    /** Spectral density of the noise of the trend, per second cubed. */
    private static final double TREND_NOISE = 0.4;

    /** Time without measurements after which the trend is discarded, in seconds. */
    private static final double MAX_GAP_S = 3;

    /** Time constant with which {@link #recentMinimum} decays towards the level, in seconds. */
    private static final double MINIMUM_DECAY_S = 30;

    private double level;
    private double trendPerS;
    private double levelVariance;
    private double trendVariance;
    private double covariance;
    private double recentMinimum;
    private long updatedNanos;
    private boolean initialised;

    /** Starts from a first measurement. */
    void initialise(double headroom, long nowNanos) {
        level = headroom;
        recentMinimum = initialised ? Math.min(recentMinimum, headroom) : headroom;
        trendPerS = 0;
        levelVariance = INITIAL_VARIANCE;
        trendVariance = INITIAL_TREND_VARIANCE;
        covariance = 0;
        updatedNanos = nowNanos;
        initialised = true;
    }

    /** Advances level and trend to a later time. */
    void predict(long nowNanos) {
        double elapsedS = (nowNanos - updatedNanos) / 1e9;
        updatedNanos = nowNanos;
        if (elapsedS > MAX_GAP_S) {
            initialise(level, nowNanos);
            return;
        }
        double square = elapsedS * elapsedS;
        level += trendPerS * elapsedS;
        levelVariance += 2 * elapsedS * covariance + square * trendVariance + TREND_NOISE * square * elapsedS / 3;
        covariance += elapsedS * trendVariance + TREND_NOISE * square / 2;
        trendVariance += TREND_NOISE * elapsedS;
        recentMinimum += Math.max(0, level - recentMinimum) * (1 - Math.exp(-elapsedS / MINIMUM_DECAY_S));
    }

    /**
     * Corrects level and trend by a measurement.
     *
     * @param residual measured headroom minus the current level
     * @param residualVariance variance of {@code residual}
     */
    void update(double residual, double residualVariance) {
        double levelGain = levelVariance / residualVariance;
        double trendGain = covariance / residualVariance;
        level += levelGain * residual;
        trendPerS += trendGain * residual;
        trendVariance -= trendGain * covariance;
        covariance -= trendGain * levelVariance;
        levelVariance -= levelGain * levelVariance;
        recentMinimum = Math.min(recentMinimum, level);
    }

    boolean initialised() {
        return initialised;
    }

    /** Returns the level at the time of the last {@link #predict}. */
    double level() {
        return level;
    }

    /** Returns the variance of {@link #level}. */
    double levelVariance() {
        return levelVariance;
    }

    /**
     * Returns the headroom after a falling trend has continued for a time, at least the recent minimum. A rising trend
     * is ignored.
     */
    double forecast(double aheadS) {
        return Math.max(recentMinimum, level + Math.min(0, trendPerS) * aheadS);
    }
}
