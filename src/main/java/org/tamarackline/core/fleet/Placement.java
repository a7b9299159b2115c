package org.tamarackline.core.fleet;

import java.util.Collection;

import org.tamarackline.core.model.Resources;

/** Chooses runners for tasks. */
final class Placement {

    /** Part of the reserved processor time that tasks are expected to use. */
    private static final double RESERVATION_IN_USE = 0.5;
    /** Cost of a rack other than the one that holds the data, in units of a whole runner's load. */
    private static final double REMOTE_COST = 0.6;
    /** Weight of a runner's slowness against its load. */
    private static final double SLOWNESS_COST = 0.5;
    /** Weight of the processor time that filling tasks asked for, when other tasks are placed. */
    private static final double FILLER_WEIGHT = 0.3;
    /** Cost of another task of the same long-running step on the runner. */
    private static final double SHARED_FATE_COST = 0.15;

    private final InterferenceModel interference;

    Placement(InterferenceModel interference) {
        this.interference = interference;
    }

    /**
     * Returns the best runner that may run the task now, or null.
     *
     * @param rack rack that the task should be on, empty for any
     */
    FleetRunner choose(Task task, Collection<FleetRunner> runners, String rack, long nowNanos) {
        FleetRunner best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (FleetRunner runner : runners) {
            if (!permits(task, runner, nowNanos)) {
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

    /** Returns whether the runner may start the task now. */
    private boolean permits(Task task, FleetRunner runner, long nowNanos) {
        StepDefinition step = task.step();
        RunnerReport report = runner.report();
        if (!runner.listed || !runner.contacted || report.draining()) {
            return false;
        }
        if (!report.service().equals(task.job().definition().queue().service())) {
            return false;
        }
        if (!step.requiredLabel().isEmpty() && !report.labels().contains(step.requiredLabel())) {
            return false;
        }
        if (runner.health.avoided(nowNanos) || (runner.health.onTrial() && hasTrial(runner))) {
            return false;
        }
        if (step.filler() && !leavesTimeFor(step, runner)) {
            return false;
        }
        if (task.avoidedRunners.contains(runner.id())) {
            return false;
        }
        if (!step.reservation().fitsIn(runner.free())) {
            return false;
        }
        for (Run run : task.runs) {
            if (run.runner() == runner) {
                return false;
            }
        }
        return step.maxPerRunner() == 0 || runner.runsOfStep(task.key()) < step.maxPerRunner();
    }

    /** Returns whether the time that other tasks are expected to leave over is enough for one more filling task. */
    private boolean leavesTimeFor(StepDefinition step, FleetRunner runner) {
        if (servingRuns(runner) > 0
                && runner.fillerMillis() > 0
                && interference.pressureOn(runner) + interference.pressure(step) > interference.allowance(runner)) {
            return false;
        }
        double used = RESERVATION_IN_USE * runner.reservedMillis() + runner.fillerMillis();
        return used + step.demand().processorMillis()
                <= runner.report().capacity().processorMillis();
    }

    private static boolean hasTrial(FleetRunner runner) {
        for (Run run : runner.runs.values()) {
            if (!run.task().step().longRunning() && run.phase != Run.Phase.STOPPING) {
                return true;
            }
        }
        return false;
    }

    private double cost(Task task, FleetRunner runner, String rack) {
        StepDefinition step = task.step();
        Resources capacity = runner.report().capacity();
        double size = Math.max(1, capacity.processorMillis());
        double load = runner.reservedMillis() / size;
        double filled = runner.fillerMillis() / size;
        double cost = step.filler() ? load + filled : load + FILLER_WEIGHT * filled;
        if (step.filler()) {
            cost += servingRuns(runner) == 0
                    ? 0
                    : (interference.pressureOn(runner) + interference.pressure(step)) / interference.allowance(runner);
        }
        if (step.longRunning() && step.maxPerRunner() == 0) {
            cost += SHARED_FATE_COST * runner.runsOfStep(task.key());
        }
        if (!rack.isEmpty() && !runner.report().rack().equals(rack)) {
            cost += REMOTE_COST;
        }
        return cost + SLOWNESS_COST * (runner.health.slowness() - 1);
    }

    private static int servingRuns(FleetRunner runner) {
        int serving = 0;
        for (Run run : runner.runs.values()) {
            if (run.task().step().serving()) {
                serving++;
            }
        }
        return serving;
    }
}
