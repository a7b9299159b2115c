package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much best-effort tasks raise the tail latency of the latency-critical tasks on the same runner.
 *
 * <p>The headroom of a latency-critical task is its latency target divided by its tail latency: 1 at the target, and
 * above 1 while the target is met. Latency grows as 1 / (1 - load), so headroom falls linearly with load, and the
 * losses caused by several best-effort tasks add up. The loss depends on both images. It is estimated for each pair of
 * images by a Kalman filter that ignores covariances.
 */
final class InterferenceModel {

    /** Headroom assumed for a latency-critical task without measurements. */
    private static final double DEFAULT_HEADROOM = 2;

    /** Lowest headroom that a measurement can resolve; below it a runner is saturated. */
    private static final double SATURATED_HEADROOM = 0.4;

    /** Variance of a measured headroom: a constant part, and a part proportional to its square. */
    private static final double MEASUREMENT_VARIANCE = 0.01;

    private static final double RELATIVE_MEASUREMENT_VARIANCE = 0.006;

    /** Relative error of the predicted headroom loss, in addition to the variance of the estimates. */
    private static final double RELATIVE_MODEL_ERROR = 0.2;

    /** Variance of the error of rounding to whole milliseconds: uniform over one millisecond. */
    private static final double ROUNDING_VARIANCE = 1.0 / 12;

    /** Safety factor on the estimated headroom loss. */
    private static final double LOSS_MARGIN = 1.3;

    /** Square of the number of standard deviations beyond which a measurement counts less. */
    private static final double SQUARED_OUTLIER_DEVIATIONS = 9;

    private final Map<ImagePair, InterferenceEstimate> estimates = new HashMap<>();

    /** Returns a copy of the estimates for all pairs of images. */
    Map<ImagePair, InterferenceEstimate> estimates() {
        return Map.copyOf(estimates);
    }

    /** Restores the estimates that an earlier leader stored. */
    void restore(Map<ImagePair, InterferenceEstimate> learned) {
        learned.forEach((pair, estimate) -> estimates.put(pair, estimate.clamped()));
    }

    /**
     * Returns the headroom that a best-effort task at full speed takes from a latency-critical task on the same runner,
     * including the safety factor.
     */
    double predictedLoss(StepDefinition bestEffort, StepDefinition latencyCritical, FleetRunner runner) {
        double cpuShare = bestEffort.demand().processorMillis() / capacityMillis(runner);
        return LOSS_MARGIN * estimate(latencyCritical, bestEffort).headroomLoss() * cpuShare;
    }

    /** Returns the headroom that all best-effort tasks of a runner take from a latency-critical task at full speed. */
    double totalPredictedLoss(StepDefinition latencyCritical, FleetRunner runner) {
        double sum = 0;
        for (Run run : runner.runs.values()) {
            if (run.task().step().bestEffort()) {
                sum += predictedLoss(run.task().step(), latencyCritical, runner);
            }
        }
        return sum;
    }

    /**
     * Returns the forecast headroom of a latency-critical run without best-effort tasks on its runner.
     *
     * @param aheadS forecast horizon in seconds
     */
    double forecastBaselineHeadroom(Run run, double aheadS) {
        BaselineHeadroomFilter stepFilter =
                run.task().job().baselineFilter(run.task().key().step());
        if (run.baselineHeadroom <= 0) {
            return stepFilter.initialised() ? stepFilter.forecast(aheadS) : DEFAULT_HEADROOM;
        }
        double upperBound = run.baselineHeadroom + Math.sqrt(run.baselineVariance);
        return stepFilter.initialised() ? Math.min(stepFilter.forecast(aheadS), upperBound) : upperBound;
    }

    /** Updates the estimates from the last status of a runner. */
    void learn(FleetRunner runner, long nowNanos) {
        for (Run run : runner.runs.values()) {
            if (run.task().step().latencyCritical() && run.phase == Run.Phase.RUNNING && run.measurement > 0) {
                learn(run, runner, nowNanos);
            }
        }
    }

    private void learn(Run run, FleetRunner runner, long nowNanos) {
        StepDefinition step = run.task().step();
        double measuredHeadroom = step.latencyTargetMs() / run.measurement;
        Map<ImagePair, Double> cpuShares = bestEffortCpuShares(step, runner);
        double loss = 0;
        double variance = measurementVariance(measuredHeadroom, step.latencyTargetMs());
        for (Map.Entry<ImagePair, Double> entry : cpuShares.entrySet()) {
            InterferenceEstimate estimate = estimate(entry.getKey());
            loss += estimate.headroomLoss() * entry.getValue();
            variance += estimate.variance() * entry.getValue() * entry.getValue();
        }
        run.baselineHeadroom = measuredHeadroom + loss;
        run.baselineVariance = variance + RELATIVE_MODEL_ERROR * RELATIVE_MODEL_ERROR * loss * loss;
        BaselineHeadroomFilter baselineFilter =
                run.task().job().baselineFilter(run.task().key().step());
        if (!baselineFilter.initialised()) {
            baselineFilter.initialise(run.baselineHeadroom, nowNanos);
            return;
        }
        baselineFilter.predict(nowNanos);
        if (measuredHeadroom < SATURATED_HEADROOM && baselineFilter.level() - loss < SATURATED_HEADROOM) {
            return;
        }
        double residual = baselineFilter.level() - loss - Math.max(measuredHeadroom, SATURATED_HEADROOM);
        double residualVariance = run.baselineVariance + baselineFilter.levelVariance();
        residualVariance *= Math.max(1, residual * residual / (SQUARED_OUTLIER_DEVIATIONS * residualVariance));
        baselineFilter.update(-residual, residualVariance);
        updateEstimates(cpuShares, residual, residualVariance);
    }

    /**
     * Returns the fraction of the runner's processor time that each best-effort image used, by its pair with a
     * latency-critical step.
     */
    private static Map<ImagePair, Double> bestEffortCpuShares(StepDefinition latencyCritical, FleetRunner runner) {
        Map<ImagePair, Double> cpuShares = new HashMap<>();
        for (Run run : runner.runs.values()) {
            double cpuShare = bestEffortCpuShare(run, runner);
            if (cpuShare > 0) {
                cpuShares.merge(pairOf(latencyCritical, run.task().step()), cpuShare, Double::sum);
            }
        }
        return cpuShares;
    }

    /**
     * Distributes the residual among the pairs of images that were present; the less certain estimates change more.
     *
     * @param residual headroom that is missing beyond the estimated losses
     * @param residualVariance variance of {@code residual} that the estimates and the measurement explain
     */
    private void updateEstimates(Map<ImagePair, Double> cpuShares, double residual, double residualVariance) {
        for (Map.Entry<ImagePair, Double> entry : cpuShares.entrySet()) {
            estimates.put(
                    entry.getKey(), estimate(entry.getKey()).updated(residual, entry.getValue(), residualVariance));
        }
    }

    /** Returns the variance of a headroom that was computed from a latency in whole milliseconds. */
    private static double measurementVariance(double measuredHeadroom, long targetMs) {
        double square = measuredHeadroom * measuredHeadroom;
        double roundingVariance = ROUNDING_VARIANCE * square * square / ((double) targetMs * targetMs);
        return MEASUREMENT_VARIANCE + RELATIVE_MEASUREMENT_VARIANCE * square + roundingVariance;
    }

    private InterferenceEstimate estimate(StepDefinition latencyCritical, StepDefinition bestEffort) {
        return estimate(pairOf(latencyCritical, bestEffort));
    }

    private InterferenceEstimate estimate(ImagePair pair) {
        return estimates.getOrDefault(pair, InterferenceEstimate.PRIOR);
    }

    private static ImagePair pairOf(StepDefinition latencyCritical, StepDefinition bestEffort) {
        return new ImagePair(latencyCritical.image(), bestEffort.image());
    }

    /** Returns the fraction of the runner's processor time that a best-effort run used, 0 for other runs. */
    private static double bestEffortCpuShare(Run run, FleetRunner runner) {
        return run.task().step().bestEffort() ? Math.max(0, run.measurement) / capacityMillis(runner) : 0;
    }

    private static double capacityMillis(FleetRunner runner) {
        return Math.max(1, runner.descriptor().capacity().processorMillis());
    }
}
