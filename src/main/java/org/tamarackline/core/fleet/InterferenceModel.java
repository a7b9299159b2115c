package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much filling tasks raise the tail latency of the serving tasks beside them.
 *
 * <p>The headroom of a serving task is its latency target divided by its tail latency: 1 at the target, more within it.
 * Latency grows as 1 / (1 - load), so headroom falls in proportion to load, and what several filling tasks take from it
 * adds up. How much an image takes depends on the serving image beside it. It is learned for each pair of images by a Kalman
 * filter without covariances.
 */
final class InterferenceModel {

    /** Headroom assumed of a serving task without readings. */
    private static final double DEFAULT_HEADROOM = 2;

    /** Lowest headroom that readings tell apart; below it a runner is saturated. */
    private static final double SATURATED_HEADROOM = 0.4;

    /** Variance of a headroom that is read: a fixed part, and one in proportion to its square. */
    private static final double MEASUREMENT_VARIANCE = 0.01;

    private static final double RELATIVE_MEASUREMENT_VARIANCE = 0.006;

    /** Relative error of what the model says that filling tasks take, beside the uncertainty of its weights. */
    private static final double RELATIVE_MODEL_ERROR = 0.2;

    /** Variance of a whole number that stands for a range of one. */
    private static final double ROUNDING_VARIANCE = 1.0 / 12;

    /** Factor by which the headroom that a filling task takes may exceed the estimate. */
    private static final double LOSS_MARGIN = 1.3;

    /** Square of the number of deviations from which a reading counts less. */
    private static final double SQUARED_OUTLIER_DEVIATIONS = 9;

    private final Map<ImagePair, InterferenceEstimate> estimates = new HashMap<>();

    /** Returns what was learned about pairs of images. */
    Map<ImagePair, InterferenceEstimate> estimates() {
        return Map.copyOf(estimates);
    }

    /** Starts from what an earlier leader learned. */
    void restore(Map<ImagePair, InterferenceEstimate> learned) {
        learned.forEach((pair, estimate) -> estimates.put(pair, estimate.clamped()));
    }

    /**
     * Returns the headroom that a filling task at full speed may take from a serving one on a runner, with a margin for the
     * error of the estimate.
     */
    double predictedLoss(StepDefinition bestEffort, StepDefinition latencyCritical, FleetRunner runner) {
        double cpuShare = bestEffort.demand().processorMillis() / capacityMillis(runner);
        return LOSS_MARGIN * estimate(latencyCritical, bestEffort).headroomLoss() * cpuShare;
    }

    /** Returns the headroom that all filling tasks of a runner at full speed take from a serving one. */
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
     * Returns the headroom that a serving run is expected to have without filling tasks beside it.
     *
     * @param aheadS how far ahead, in seconds
     */
    double forecastBaselineHeadroom(Run latencyCritical, double aheadS) {
        BaselineHeadroomFilter stepFilter = latencyCritical
                .task()
                .job()
                .baselineFilter(latencyCritical.task().key().step());
        if (latencyCritical.baselineHeadroom <= 0) {
            return stepFilter.initialised() ? stepFilter.forecast(aheadS) : DEFAULT_HEADROOM;
        }
        double upperBound = latencyCritical.baselineHeadroom + Math.sqrt(latencyCritical.baselineVariance);
        return stepFilter.initialised() ? Math.min(stepFilter.forecast(aheadS), upperBound) : upperBound;
    }

    /** Takes note of a runner's report. */
    void learn(FleetRunner runner, long nowNanos) {
        for (Run run : runner.runs.values()) {
            if (run.task().step().latencyCritical() && run.phase == Run.Phase.RUNNING && run.measurement > 0) {
                learn(run, runner, nowNanos);
            }
        }
    }

    private void learn(Run latencyCritical, FleetRunner runner, long nowNanos) {
        StepDefinition step = latencyCritical.task().step();
        double measuredHeadroom = step.latencyTargetMs() / latencyCritical.measurement;
        Map<ImagePair, Double> cpuShares = bestEffortCpuShares(step, runner);
        double loss = 0;
        double variance = measurementVariance(measuredHeadroom, step.latencyTargetMs());
        for (Map.Entry<ImagePair, Double> entry : cpuShares.entrySet()) {
            InterferenceEstimate estimate = estimate(entry.getKey());
            loss += estimate.headroomLoss() * entry.getValue();
            variance += estimate.variance() * entry.getValue() * entry.getValue();
        }
        latencyCritical.baselineHeadroom = measuredHeadroom + loss;
        latencyCritical.baselineVariance = variance + RELATIVE_MODEL_ERROR * RELATIVE_MODEL_ERROR * loss * loss;
        BaselineHeadroomFilter baselineFilter = latencyCritical
                .task()
                .job()
                .baselineFilter(latencyCritical.task().key().step());
        if (!baselineFilter.initialised()) {
            baselineFilter.initialise(latencyCritical.baselineHeadroom, nowNanos);
            return;
        }
        baselineFilter.predict(nowNanos);
        if (measuredHeadroom < SATURATED_HEADROOM && baselineFilter.level() - loss < SATURATED_HEADROOM) {
            return;
        }
        double residual = baselineFilter.level() - loss - Math.max(measuredHeadroom, SATURATED_HEADROOM);
        double residualVariance = latencyCritical.baselineVariance + baselineFilter.levelVariance();
        residualVariance *= Math.max(1, residual * residual / (SQUARED_OUTLIER_DEVIATIONS * residualVariance));
        baselineFilter.update(-residual, residualVariance);
        updateEstimates(cpuShares, residual, residualVariance);
    }

    /** Returns which part of the runner's processor time the filling images beside a serving step used. */
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
     * Attributes headroom that was missing to the pairs that took part, the less certain ones first.
     *
     * @param residualVariance variance of {@code residual} as far as the estimates and the reading explain it
     */
    private void updateEstimates(Map<ImagePair, Double> cpuShares, double residual, double residualVariance) {
        for (Map.Entry<ImagePair, Double> entry : cpuShares.entrySet()) {
            estimates.put(
                    entry.getKey(), estimate(entry.getKey()).updated(residual, entry.getValue(), residualVariance));
        }
    }

    /** Returns how uncertain a headroom is whose latency was reported in whole milliseconds. */
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

    /** Returns the part of the runner's processor time that a filling run used, 0 for other runs. */
    private static double bestEffortCpuShare(Run run, FleetRunner runner) {
        return run.task().step().bestEffort() ? Math.max(0, run.measurement) / capacityMillis(runner) : 0;
    }

    private static double capacityMillis(FleetRunner runner) {
        return Math.max(1, runner.descriptor().capacity().processorMillis());
    }
}
