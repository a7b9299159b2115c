package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much filling tasks of each image raise the tail latency of the serving tasks beside them.
 *
 * <p>The logarithm of the worst latency relative to its target is modelled as a baseline of the runner plus, for each image,
 * a weight times the processors that its tasks use. Both follow the runners' reports by normalized least mean squares.
 */
final class InterferenceModel {

    /** Weight of an image of which nothing is known, per processor. */
    private static final double UNKNOWN_WEIGHT = 0.18;

    private static final double MIN_WEIGHT = 0.02;
    private static final double MAX_WEIGHT = 1.2;
    private static final double WEIGHT_STEP = 0.3;
    private static final double BASELINE_STEP = 0.06;
    private static final double MIN_BASELINE = -1.3;
    private static final double MAX_BASELINE = 0;

    /** Logarithm of the part of the latency target that serving tasks should stay below. */
    private static final double GOAL = Math.log(0.8);

    private static final double MILLIS_PER_PROCESSOR = 1_000;

    private final Map<String, Double> weights = new HashMap<>();

    /** Returns the weight of each image that was observed. */
    Map<String, Double> weights() {
        return Map.copyOf(weights);
    }

    /** Starts from the weights that an earlier leader learned. */
    void startFrom(Map<String, Double> learned) {
        learned.forEach((image, weight) -> weights.put(image, bounded(weight, MIN_WEIGHT, MAX_WEIGHT)));
    }

    /** Returns how much a task of an image adds at full speed. */
    double pressure(StepDefinition step) {
        return weight(step.image()) * step.demand().processorMillis() / MILLIS_PER_PROCESSOR;
    }

    /** Returns how much the filling tasks of a runner may add; not positive if there is no room for any. */
    double allowance(FleetRunner runner) {
        return GOAL - runner.baseline;
    }

    /** Returns how much the filling tasks on a runner add at full speed. */
    double pressureOn(FleetRunner runner) {
        double sum = 0;
        for (Run run : runner.runs.values()) {
            if (run.task().step().filler()) {
                sum += pressure(run.task().step());
            }
        }
        return sum;
    }

    /** Takes note of a runner's report. */
    void learn(FleetRunner runner) {
        double worst = worstLatency(runner);
        if (worst <= 0) {
            return;
        }
        double expected = runner.baseline;
        double square = 0;
        for (Run run : runner.runs.values()) {
            double used = processorsUsed(run);
            expected += weight(run.task().step().image()) * used;
            square += used * used;
        }
        double error = Math.log(worst) - expected;
        runner.baseline = bounded(runner.baseline + BASELINE_STEP * error, MIN_BASELINE, MAX_BASELINE);
        for (Run run : runner.runs.values()) {
            double used = processorsUsed(run);
            if (used > 0) {
                double next = weight(run.task().step().image()) + WEIGHT_STEP * error * used / (1 + square);
                weights.put(run.task().step().image(), bounded(next, MIN_WEIGHT, MAX_WEIGHT));
            }
        }
    }

    /** Returns the worst latency of the serving tasks relative to its target, 0 if none is known. */
    static double worstLatency(FleetRunner runner) {
        double worst = 0;
        for (Run run : runner.runs.values()) {
            StepDefinition step = run.task().step();
            if (step.serving() && run.phase == Run.Phase.RUNNING && run.usage > 0) {
                worst = Math.max(worst, run.usage / step.latencyTargetMs());
            }
        }
        return worst;
    }

    private double weight(String image) {
        return weights.getOrDefault(image, UNKNOWN_WEIGHT);
    }

    private static double processorsUsed(Run run) {
        return run.task().step().filler() ? Math.max(0, run.usage) / MILLIS_PER_PROCESSOR : 0;
    }

    private static double bounded(double value, double least, double most) {
        return Math.max(least, Math.min(most, value));
    }
}
