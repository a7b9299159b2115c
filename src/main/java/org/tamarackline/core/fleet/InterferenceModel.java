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
    private static final double UNKNOWN_HEADROOM = 2;

    /** Lowest headroom that readings tell apart; below it a runner is saturated. */
    private static final double SATURATED_HEADROOM = 0.4;

    /** Variance of a headroom that is read: a fixed part, and one in proportion to its square. */
    private static final double READING_VARIANCE = 0.01;

    private static final double RELATIVE_READING_VARIANCE = 0.006;

    /** Relative error of what the model says that filling tasks take, beside the uncertainty of its weights. */
    private static final double MODEL_ERROR = 0.2;

    /** Variance of a whole number that stands for a range of one. */
    private static final double ROUNDING_VARIANCE = 1.0 / 12;

    /** Factor by which the headroom that a filling task takes may exceed the estimate. */
    private static final double PRESSURE_MARGIN = 1.3;

    /** Square of the number of deviations from which a reading counts less. */
    private static final double OUTLIER_SQUARE = 9;

    private final Map<ImagePair, PairWeight> weights = new HashMap<>();

    /** Returns what was learned about pairs of images. */
    Map<ImagePair, PairWeight> weights() {
        return Map.copyOf(weights);
    }

    /** Starts from what an earlier leader learned. */
    void startFrom(Map<ImagePair, PairWeight> learned) {
        learned.forEach((pair, weight) -> weights.put(pair, weight.bounded()));
    }

    /**
     * Returns the headroom that a filling task at full speed may take from a serving one on a runner, with a margin for the
     * error of the estimate.
     */
    double pressure(StepDefinition bestEffort, StepDefinition latencyCritical, FleetRunner runner) {
        double share = bestEffort.demand().processorMillis() / capacityMillis(runner);
        return PRESSURE_MARGIN * weight(latencyCritical, bestEffort).headroom() * share;
    }

    /** Returns the headroom that all filling tasks of a runner at full speed take from a serving one. */
    double pressureOn(StepDefinition latencyCritical, FleetRunner runner) {
        double sum = 0;
        for (Run run : runner.runs.values()) {
            if (run.task().step().bestEffort()) {
                sum += pressure(run.task().step(), latencyCritical, runner);
            }
        }
        return sum;
    }

    /**
     * Returns the headroom that a serving run is expected to have without filling tasks beside it.
     *
     * @param aheadS how far ahead, in seconds
     */
    double headroom(Run latencyCritical, double aheadS) {
        StepHeadroom step = latencyCritical
                .task()
                .job()
                .headroom(latencyCritical.task().key().step());
        if (latencyCritical.clearHeadroom <= 0) {
            return step.known() ? step.expected(aheadS) : UNKNOWN_HEADROOM;
        }
        double own = latencyCritical.clearHeadroom + Math.sqrt(latencyCritical.clearVariance);
        return step.known() ? Math.min(step.expected(aheadS), own) : own;
    }

    /** Takes note of a runner's report. */
    void learn(FleetRunner runner, long nowNanos) {
        for (Run run : runner.runs.values()) {
            if (run.task().step().latencyCritical() && run.phase == Run.Phase.RUNNING && run.usage > 0) {
                learn(run, runner, nowNanos);
            }
        }
    }

    private void learn(Run latencyCritical, FleetRunner runner, long nowNanos) {
        StepDefinition step = latencyCritical.task().step();
        double reading = step.latencyTargetMs() / latencyCritical.usage;
        Map<ImagePair, Double> shares = sharesBeside(step, runner);
        double taken = 0;
        double variance = readingVariance(reading, step.latencyTargetMs());
        for (Map.Entry<ImagePair, Double> used : shares.entrySet()) {
            PairWeight weight = weight(used.getKey());
            taken += weight.headroom() * used.getValue();
            variance += weight.variance() * used.getValue() * used.getValue();
        }
        latencyCritical.clearHeadroom = reading + taken;
        latencyCritical.clearVariance = variance + MODEL_ERROR * MODEL_ERROR * taken * taken;
        StepHeadroom headroom = latencyCritical
                .task()
                .job()
                .headroom(latencyCritical.task().key().step());
        if (!headroom.known()) {
            headroom.start(latencyCritical.clearHeadroom, nowNanos);
            return;
        }
        headroom.advance(nowNanos);
        if (reading < SATURATED_HEADROOM && headroom.level() - taken < SATURATED_HEADROOM) {
            return;
        }
        double missing = headroom.level() - taken - Math.max(reading, SATURATED_HEADROOM);
        double spread = latencyCritical.clearVariance + headroom.levelVariance();
        spread *= Math.max(1, missing * missing / (OUTLIER_SQUARE * spread));
        headroom.observe(-missing, spread);
        correct(shares, missing, spread);
    }

    /** Returns which part of the runner's processor time the filling images beside a serving step used. */
    private static Map<ImagePair, Double> sharesBeside(StepDefinition latencyCritical, FleetRunner runner) {
        Map<ImagePair, Double> shares = new HashMap<>();
        for (Run run : runner.runs.values()) {
            double share = usedShare(run, runner);
            if (share > 0) {
                shares.merge(pairOf(latencyCritical, run.task().step()), share, Double::sum);
            }
        }
        return shares;
    }

    /**
     * Attributes headroom that was missing to the pairs that took part, the less certain ones first.
     *
     * @param spread variance of {@code missing} as far as the estimates and the reading explain it
     */
    private void correct(Map<ImagePair, Double> shares, double missing, double spread) {
        for (Map.Entry<ImagePair, Double> used : shares.entrySet()) {
            weights.put(used.getKey(), weight(used.getKey()).observed(missing, used.getValue(), spread));
        }
    }

    /** Returns how uncertain a headroom is whose latency was reported in whole milliseconds. */
    private static double readingVariance(double reading, long targetMs) {
        double square = reading * reading;
        double rounding = ROUNDING_VARIANCE * square * square / ((double) targetMs * targetMs);
        return READING_VARIANCE + RELATIVE_READING_VARIANCE * square + rounding;
    }

    private PairWeight weight(StepDefinition latencyCritical, StepDefinition bestEffort) {
        return weight(pairOf(latencyCritical, bestEffort));
    }

    private PairWeight weight(ImagePair pair) {
        return weights.getOrDefault(pair, PairWeight.UNKNOWN);
    }

    private static ImagePair pairOf(StepDefinition latencyCritical, StepDefinition bestEffort) {
        return new ImagePair(latencyCritical.image(), bestEffort.image());
    }

    /** Returns the part of the runner's processor time that a filling run used, 0 for other runs. */
    private static double usedShare(Run run, FleetRunner runner) {
        return run.task().step().bestEffort() ? Math.max(0, run.usage) / capacityMillis(runner) : 0;
    }

    private static double capacityMillis(FleetRunner runner) {
        return Math.max(1, runner.report().capacity().processorMillis());
    }
}
