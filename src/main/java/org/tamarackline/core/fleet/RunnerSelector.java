package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Chooses runners for tasks. */
final class RunnerSelector {

    /** Part of their reserved processor time that serving tasks are expected to use. */
    private static final double LATENCY_CRITICAL_CPU_USE = 0.55;

    /** Cost of taking room on a runner without serving tasks from filling tasks that disturb. */
    private static final double BEST_EFFORT_RUNNER_COST = 0.8;

    /** Room for pressure that a serving task is taken to have at least, so that costs stay finite. */
    private static final double MIN_BUDGET = 0.05;

    /** Part of the room for pressure that filling tasks may take at full speed; beyond 1 they are slowed down. */
    private static final double MAX_BUDGET_USE = 1.25;

    /** Part of the room for pressure on another runner up to which a slowed task is moved there. */
    private static final double MAX_BUDGET_USE_FOR_MIGRATION = 0.8;

    /** Part of the room for pressure from which a filling task is sent to a runner without serving ones. */
    private static final double SHARED_RUNNER_BUDGET_USE = 0.5;

    /** How far ahead the load of serving tasks is expected when a filling task is placed beside them, in seconds. */
    private static final double FORECAST_S = 2;

    /** Cost of a serving task of another image on the runner: different images are harmed by different filling ones. */
    private static final double MIXED_IMAGES_COST = 1.5;

    /** Part of a service's processor time below which its reservations leave most of it free; the platform's rule says half. */
    private static final double MOSTLY_FREE_MAX_RESERVATION = 0.6;

    /** Cost of a rack other than the one that holds the data, in units of a whole runner's load. */
    private static final double REMOTE_RACK_COST = 0.6;
    /** Weight of a runner's slowness against its load. */
    private static final double SLOWDOWN_COST = 0.5;
    /** Weight of the processor time that filling tasks asked for, when other tasks are placed. */
    private static final double BEST_EFFORT_LOAD_WEIGHT = 0.3;
    /** Cost of another task of the same long-running step on the runner. */
    private static final double SAME_STEP_COST = 0.15;

    private final InterferenceModel interference;
    /** Rooms for pressure on the runners that the current round has looked at. */
    private final Map<FleetRunner, List<InterferenceBudget>> budgetsByRunner = new HashMap<>();

    /**
     * Room for the pressure of filling tasks beside a serving task.
     *
     * @param latencyCritical step of the serving task
     * @param predictedLoss headroom that the filling tasks of the runner take
     * @param budget headroom that filling tasks may take
     */
    private record InterferenceBudget(StepDefinition latencyCritical, double predictedLoss, double budget) {}

    RunnerSelector(InterferenceModel interference) {
        this.interference = interference;
    }

    /** Forgets what the last round found out about the runners. */
    void clearCache() {
        budgetsByRunner.clear();
    }

    /** Takes note that a run was added to a runner or is about to leave it. */
    void invalidate(FleetRunner runner) {
        budgetsByRunner.remove(runner);
    }

    /**
     * Returns the best runner that may run the task now, or null.
     *
     * @param rack rack that the task should be on, empty for any
     */
    FleetRunner select(Task task, Collection<FleetRunner> runners, String rack, long nowNanos) {
        boolean startAnyway = task.job().activeRuns == 0 && mostlyFree(task, runners);
        FleetRunner best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetRunner runner : runners) {
            if (!isFeasible(task, runner, nowNanos) || (!startAnyway && !hasCpuTimeFor(task.step(), runner))) {
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

    /** Returns whether another runner has room for a run, where a filling one would work at speed. */
    boolean hasBetterRunner(Run run, Collection<FleetRunner> runners, long nowNanos) {
        StepDefinition step = run.task().step();
        for (FleetRunner runner : runners) {
            if (runner != run.runner()
                    && isFeasible(run.task(), runner, nowNanos)
                    && hasCpuTimeFor(step, runner)
                    && (!step.bestEffort() || budgetUse(step, runner) < MAX_BUDGET_USE_FOR_MIGRATION)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether most of the service's capacity is not reserved. A job of which nothing runs then starts its first
     * filling task whatever the model expects; the pace decides how fast it works.
     */
    private static boolean mostlyFree(Task task, Collection<FleetRunner> runners) {
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

    /** Returns whether the runner may start the task now. */
    private boolean isFeasible(Task task, FleetRunner runner, long nowNanos) {
        StepDefinition step = task.step();
        RunnerDescriptor descriptor = runner.descriptor();
        if (!runner.registered || !runner.statusKnown || runner.silent || runner.cordoned || descriptor.draining()) {
            return false;
        }
        if (!descriptor.service().equals(task.job().definition().queue().service())) {
            return false;
        }
        if (!step.requiredLabel().isEmpty() && !descriptor.labels().contains(step.requiredLabel())) {
            return false;
        }
        if (runner.health.isAvoided(nowNanos) || (runner.health.onProbation() && hasProbationRun(runner))) {
            return false;
        }
        if (task.avoidedRunners.contains(runner.id())) {
            return false;
        }
        if (!step.reservation().fitsIn(runner.free())) {
            return false;
        }
        return step.maxPerRunner() == 0 || runner.runsOfStep(task.key()) < step.maxPerRunner();
    }

    /** Returns whether the time that other tasks are expected to leave over is enough for one more filling task. */
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
                + (runner.hasLatencyCriticalRuns() ? 0 : BEST_EFFORT_RUNNER_COST);
    }

    /**
     * Keeps serving tasks together, so that some runners are left for filling tasks that would harm them, and serving tasks
     * of one image most of all, so that each filling image finds runners where it harms none.
     */
    private static double latencyCriticalCost(Task task, FleetRunner runner, double load) {
        double bestEffortRunnerCost = runner.hasLatencyCriticalRuns() ? 0 : BEST_EFFORT_RUNNER_COST;
        double sameStepCost = SAME_STEP_COST * runner.runsOfStep(task.key());
        return bestEffortRunnerCost
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

    /** Sends filling tasks that disturb to runners without serving tasks, and the others beside serving tasks. */
    private double bestEffortCost(StepDefinition step, FleetRunner runner, double used) {
        if (!runner.hasLatencyCriticalRuns()) {
            return used + BEST_EFFORT_RUNNER_COST * SHARED_RUNNER_BUDGET_USE;
        }
        return used / 2 + budgetUse(step, runner);
    }

    /**
     * Returns which part of the room for pressure would be used, with all filling tasks at full speed, for the serving task
     * that has the least room left.
     */
    private double budgetUse(StepDefinition step, FleetRunner runner) {
        double worst = 0;
        for (InterferenceBudget budget : budgetsByRunner.computeIfAbsent(runner, this::interferenceBudgets)) {
            double predictedLoss =
                    budget.predictedLoss() + interference.predictedLoss(step, budget.latencyCritical(), runner);
            worst = Math.max(worst, predictedLoss / budget.budget());
        }
        return worst;
    }

    /** Returns the room of the serving task with the least of it for each serving image on a runner. */
    private List<InterferenceBudget> interferenceBudgets(FleetRunner runner) {
        Map<String, InterferenceBudget> smallestByImage = new HashMap<>();
        for (Run run : runner.runs.values()) {
            StepDefinition step = run.task().step();
            if (step.latencyCritical()) {
                double budget =
                        interference.forecastBaselineHeadroom(run, FORECAST_S) - ThrottleController.MIN_HEADROOM;
                double clampedBudget = Math.max(MIN_BUDGET, budget);
                InterferenceBudget known = smallestByImage.get(step.image());
                if (known == null || clampedBudget < known.budget()) {
                    double predictedLoss =
                            known == null ? interference.totalPredictedLoss(step, runner) : known.predictedLoss();
                    smallestByImage.put(step.image(), new InterferenceBudget(step, predictedLoss, clampedBudget));
                }
            }
        }
        return List.copyOf(smallestByImage.values());
    }
}
