package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Chooses the runner for a task: of the runners that can take the task, the one with the lowest cost.
 *
 * <p>The cost is lowest where latency-critical tasks share few runners, preferably with tasks of the same image, so that
 * best-effort tasks that interfere with them find other runners.
 */
final class RunnerSelector {

    /** Fraction of their reserved processor time that latency-critical tasks are expected to use. */
    private static final double LATENCY_CRITICAL_CPU_USE = 0.55;

    /**
     * Cost of a runner without latency-critical tasks for tasks that are not best-effort, because interfering
     * best-effort tasks need such runners.
     */
    private static final double NO_LATENCY_CRITICAL_RUNS_COST = 0.8;

    /** Lower bound on an interference budget, so that costs stay finite. */
    private static final double MIN_BUDGET = 0.05;

    /**
     * Largest use of the interference budget at which a best-effort task is placed. Above a use of 1, the throttle
     * controller slows the best-effort tasks down.
     */
    private static final double MAX_BUDGET_USE = 1.25;

    /**
     * A throttled task is migrated only to a runner on which the use of the interference budget would be below this
     * value.
     */
    private static final double MAX_BUDGET_USE_FOR_MIGRATION = 0.8;

    /**
     * Factor on {@link #NO_LATENCY_CRITICAL_RUNS_COST} for best-effort tasks. The product, 0.4, is the use of the
     * interference budget above which a runner without latency-critical tasks costs less than one with them, if both
     * have no load and are equal otherwise. At equal load, the threshold is higher by half the load.
     */
    private static final double ISOLATION_BUDGET_USE = 0.5;

    /**
     * How far ahead the headroom is forecast when a best-effort task is placed beside latency-critical ones, in
     * seconds.
     */
    private static final double FORECAST_S = 2;

    /** Cost of mixing latency-critical images on a runner: each image is sensitive to different best-effort images. */
    private static final double MIXED_IMAGES_COST = 1.5;

    /**
     * Reserved fraction of a service's processor time below which most of it counts as free. The platform's rule says
     * half; this value includes all cases of the rule.
     */
    private static final double MOSTLY_FREE_MAX_RESERVATION = 0.6;

    /** Cost of a rack other than the preferred one, which holds the data, in units of the load of a whole runner. */
    private static final double REMOTE_RACK_COST = 0.6;
    /** Cost per unit of slowdown, in units of the load of a whole runner. */
    private static final double SLOWDOWN_COST = 0.5;
    /** Weight of the load of best-effort tasks when other tasks are placed. */
    private static final double BEST_EFFORT_LOAD_WEIGHT = 0.3;
    /**
     * Cost of each task of the same step that is on the runner already, for latency-critical tasks: all of them fail if
     * the runner fails.
     */
    private static final double SAME_STEP_COST = 0.15;

    private final InterferenceModel interference;
    /** Interference budgets of the runners that the current scheduling round has evaluated. */
    private final Map<FleetRunner, List<ImageInterference>> imageInterferencesByRunner = new HashMap<>();

    /**
     * Interference budget and predicted headroom loss of one latency-critical image on a runner.
     *
     * @param latencyCriticalStep step of the task of the image with the smallest budget
     * @param predictedLoss headroom that the best-effort tasks on the runner take at full speed
     * @param budget headroom that best-effort tasks may take
     */
    private record ImageInterference(StepDefinition latencyCriticalStep, double predictedLoss, double budget) {}

    RunnerSelector(InterferenceModel interference) {
        this.interference = interference;
    }

    /** Clears the cached interference budgets at the start of a scheduling round. */
    void clearCache() {
        imageInterferencesByRunner.clear();
    }

    /** Drops the cached interference budgets of a runner whose runs changed. */
    void invalidate(FleetRunner runner) {
        imageInterferencesByRunner.remove(runner);
    }

    /**
     * Returns the feasible runner with the lowest cost, or null if there is none. A runner that the task avoids is chosen
     * only if no other runner may take the task, or none does although most of the service is free.
     *
     * @param rack preferred rack, empty for any
     */
    FleetRunner select(Task task, Collection<FleetRunner> runners, String rack, long nowNanos) {
        FleetRunner preferred =
                cheapest(task, runners, rack, nowNanos, runner -> !task.avoidedRunners.contains(runner.id(), nowNanos));
        if (preferred != null || task.avoidedRunners.isEmpty()) {
            return preferred;
        }
        if (hasAlternative(task, runners, nowNanos) && !serviceMostlyFree(task, runners)) {
            return null;
        }
        return cheapest(task, runners, rack, nowNanos, runner -> task.avoidedRunners.mayRetry(runner.id(), nowNanos));
    }

    /** Returns whether a runner that the task does not avoid may take it once it has room. */
    private static boolean hasAlternative(Task task, Collection<FleetRunner> runners, long nowNanos) {
        for (FleetRunner runner : runners) {
            boolean fitsEmpty =
                    task.step().reservation().fitsIn(runner.descriptor().capacity());
            if (fitsEmpty
                    && isPermitted(task, runner)
                    && !runner.health.isAvoided(nowNanos)
                    && !task.avoidedRunners.contains(runner.id(), nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private FleetRunner cheapest(
            Task task, Collection<FleetRunner> runners, String rack, long nowNanos, Predicate<FleetRunner> permitted) {
        boolean skipCpuTimeCheck = task.job().activeRuns == 0 && serviceMostlyFree(task, runners);
        FleetRunner best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetRunner runner : runners) {
            if (!permitted.test(runner)
                    || !isFeasible(task, runner, nowNanos)
                    || (!skipCpuTimeCheck && !hasCpuTimeFor(task.step(), runner))) {
                continue;
            }
            double cost = cost(task, runner, rack);
            if (cost < bestCost) {
                best = runner;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns whether another runner can take the task of a run; for a best-effort task, the use of the interference
     * budget there must be below {@link #MAX_BUDGET_USE_FOR_MIGRATION}.
     */
    boolean hasMigrationTarget(Run run, Collection<FleetRunner> runners, long nowNanos) {
        StepDefinition step = run.task().step();
        for (FleetRunner runner : runners) {
            if (runner != run.runner()
                    && !run.task().avoidedRunners.contains(runner.id(), nowNanos)
                    && isFeasible(run.task(), runner, nowNanos)
                    && hasCpuTimeFor(step, runner)
                    && (!step.bestEffort() || budgetUse(step, runner) < MAX_BUDGET_USE_FOR_MIGRATION)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether less than {@link #MOSTLY_FREE_MAX_RESERVATION} of the processor time of the task's service is
     * reserved. In that case a job without runs starts its first best-effort task without the check of processor time
     * and interference; the throttle controller limits its speed.
     */
    private static boolean serviceMostlyFree(Task task, Collection<FleetRunner> runners) {
        long reservedMillis = 0;
        long capacityMillis = 0;
        for (FleetRunner runner : runners) {
            if (runner.descriptor()
                    .service()
                    .equals(task.job().definition().queue().service())) {
                reservedMillis += runner.reservedMillis();
                capacityMillis += runner.descriptor().capacity().processorMillis();
            }
        }
        return reservedMillis < MOSTLY_FREE_MAX_RESERVATION * capacityMillis;
    }

    /**
     * Returns whether the runner may run the task, is not avoided as unhealthy, is not on probation with a run, and has
     * enough unreserved capacity. Whether the task avoids it is not checked.
     */
    private static boolean isFeasible(Task task, FleetRunner runner, long nowNanos) {
        if (!isPermitted(task, runner)) {
            return false;
        }
        if (runner.health.isAvoided(nowNanos) || (runner.health.onProbation() && hasProbationRun(runner))) {
            return false;
        }
        return task.step().reservation().fitsIn(runner.free());
    }

    /** Returns whether the runner accepts tasks now and meets the constraints of the step. */
    private static boolean isPermitted(Task task, FleetRunner runner) {
        if (!runner.acceptsStartOf(task)) {
            return false;
        }
        int maxPerRunner = task.step().maxPerRunner();
        return maxPerRunner == 0 || runner.runsOfStep(task.key()) < maxPerRunner;
    }

    /**
     * Returns whether the processor time that other tasks are expected to leave unused is enough for a best-effort
     * task, and its use of the interference budget is at most {@link #MAX_BUDGET_USE}. Always true for other tasks.
     */
    private boolean hasCpuTimeFor(StepDefinition step, FleetRunner runner) {
        if (!step.bestEffort()) {
            return true;
        }
        boolean shared = runner.hasLatencyCriticalRuns();
        if (shared && budgetUse(step, runner) > MAX_BUDGET_USE) {
            return false;
        }
        double others = shared ? LATENCY_CRITICAL_CPU_USE * runner.reservedMillis() : runner.reservedMillis();
        return others + runner.bestEffortMillis() + step.demand().processorMillis()
                <= runner.descriptor().capacity().processorMillis();
    }

    /**
     * Returns whether a run takes the only place on a runner on probation. Long-running runs do not count: the runner
     * would get no further task until they end.
     */
    private static boolean hasProbationRun(FleetRunner runner) {
        for (Run run : runner.runs.values()) {
            if (!run.task().step().longRunning() && run.phase != Run.Phase.STOPPING) {
                return true;
            }
        }
        return false;
    }

    private double cost(Task task, FleetRunner runner, String rack) {
        StepDefinition step = task.step();
        double cost = SLOWDOWN_COST * (runner.health.slowdown() - 1);
        if (!rack.isEmpty() && !runner.descriptor().rack().equals(rack)) {
            cost += REMOTE_RACK_COST;
        }
        double size = Math.max(1, runner.descriptor().capacity().processorMillis());
        double load = runner.reservedMillis() / size;
        double bestEffortLoad = runner.bestEffortMillis() / size;
        if (step.bestEffort()) {
            return cost + bestEffortCost(step, runner, load + bestEffortLoad);
        }
        if (step.latencyCritical()) {
            return cost + latencyCriticalCost(task, runner, load);
        }
        return cost
                + load
                + BEST_EFFORT_LOAD_WEIGHT * bestEffortLoad
                + (runner.hasLatencyCriticalRuns() ? 0 : NO_LATENCY_CRITICAL_RUNS_COST);
    }

    /**
     * Concentrates latency-critical tasks, so that some runners stay free for best-effort tasks that would slow
     * latency-critical tasks down. Runners with tasks of the same image cost least, so that each best-effort image finds
     * runners where it slows down no latency-critical task.
     */
    private static double latencyCriticalCost(Task task, FleetRunner runner, double load) {
        double noLatencyCriticalRunsCost = runner.hasLatencyCriticalRuns() ? 0 : NO_LATENCY_CRITICAL_RUNS_COST;
        double sameStepCost = SAME_STEP_COST * runner.runsOfStep(task.key());
        return noLatencyCriticalRunsCost
                + (1 - load)
                + sameStepCost
                + MIXED_IMAGES_COST * fractionOfOtherImages(task.step(), runner);
    }

    private static double fractionOfOtherImages(StepDefinition step, FleetRunner runner) {
        int latencyCritical = 0;
        int others = 0;
        for (Run run : runner.runs.values()) {
            StepDefinition other = run.task().step();
            if (other.latencyCritical()) {
                latencyCritical++;
                others += other.image().equals(step.image()) ? 0 : 1;
            }
        }
        return latencyCritical == 0 ? 0 : (double) others / latencyCritical;
    }

    /**
     * Prefers runners with latency-critical tasks for best-effort tasks that barely slow them down, and runners without
     * latency-critical tasks for other best-effort tasks.
     */
    private double bestEffortCost(StepDefinition step, FleetRunner runner, double load) {
        if (!runner.hasLatencyCriticalRuns()) {
            return load + NO_LATENCY_CRITICAL_RUNS_COST * ISOLATION_BUDGET_USE;
        }
        return load / 2 + budgetUse(step, runner);
    }

    /**
     * Returns the fraction of the interference budget that would be used if a task of the step were added and all
     * best-effort tasks ran at full speed, for the latency-critical image with the highest fraction.
     */
    private double budgetUse(StepDefinition step, FleetRunner runner) {
        double worst = 0;
        for (ImageInterference image : imageInterferencesByRunner.computeIfAbsent(runner, this::imageInterferences)) {
            double predictedLoss =
                    image.predictedLoss() + interference.predictedLoss(step, image.latencyCriticalStep(), runner);
            worst = Math.max(worst, predictedLoss / image.budget());
        }
        return worst;
    }

    /** Returns for each latency-critical image on a runner the smallest interference budget of the tasks with that image. */
    private List<ImageInterference> imageInterferences(FleetRunner runner) {
        Map<String, ImageInterference> smallestByImage = new HashMap<>();
        for (Run run : runner.runs.values()) {
            StepDefinition step = run.task().step();
            if (step.latencyCritical()) {
                double budget =
                        interference.forecastBaselineHeadroom(run, FORECAST_S) - ThrottleController.MIN_HEADROOM;
                double clampedBudget = Math.max(MIN_BUDGET, budget);
                ImageInterference known = smallestByImage.get(step.image());
                if (known == null || clampedBudget < known.budget()) {
                    double predictedLoss =
                            known == null ? interference.totalPredictedLoss(step, runner) : known.predictedLoss();
                    smallestByImage.put(step.image(), new ImageInterference(step, predictedLoss, clampedBudget));
                }
            }
        }
        return List.copyOf(smallestByImage.values());
    }
}
