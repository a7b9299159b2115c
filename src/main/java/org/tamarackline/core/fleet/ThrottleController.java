package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sets the speed of filling tasks so that the serving tasks beside them stay within their latency targets.
 *
 * <p>The tasks that are nearest to their end work at full speed as far as the model allows; the others wait with their
 * memory. Once a target has been missed for a while, all filling tasks of the runner wait.
 */
final class ThrottleController {

    /** Time over a target after which all filling tasks stop working, well within the bound on such harm. */
    private static final long MAX_VIOLATION_NANOS = 1_400_000_000L;
    /** Smallest change of speed that is worth an order, in percent. */
    private static final int MIN_CHANGE_PERCENT = 15;
    /** Slowest speed above a stop, in percent. */
    private static final int MIN_SPEED_PERCENT = 20;
    /** Speed below which a filling task had better run elsewhere, in percent. */
    private static final int MIN_USEFUL_SPEED_PERCENT = 40;
    /** Headroom that serving tasks keep; 1 is the target, and the load changes while a reading is on its way. */
    static final double MIN_HEADROOM = 1.1;
    /** Headroom that the serving tasks of a runner keep while a target is missed there. */
    private static final double MIN_HEADROOM_AFTER_VIOLATION = 1.4;

    /** Time between the load that a reading tells of and the effect of an order, in seconds. */
    private static final double CONTROL_DELAY_S = 0.7;

    private static final int FULL_SPEED_PERCENT = 100;

    private final InterferenceModel model;

    ThrottleController(InterferenceModel model) {
        this.model = model;
    }

    /** What a serving run may still lose of its headroom. */
    private static final class RemainingBudget {
        private final StepDefinition latencyCritical;
        private double remaining;

        RemainingBudget(StepDefinition latencyCritical, double remaining) {
            this.latencyCritical = latencyCritical;
            this.remaining = remaining;
        }
    }

    /** Returns the speeds to set after a report of the runner. */
    List<RunnerCommand> adjustSpeeds(FleetRunner runner, long nowNanos) {
        model.learn(runner, nowNanos);
        updateTargetViolation(runner, nowNanos);
        boolean violatedTooLong =
                runner.targetViolated && nowNanos - runner.targetViolatedSinceNanos > MAX_VIOLATION_NANOS;
        List<RemainingBudget> budgets = interferenceBudgets(runner);
        List<RunnerCommand> commands = new ArrayList<>();
        for (Run run : bestEffortRuns(runner)) {
            int speedPercent =
                    violatedTooLong ? 0 : allowedSpeedPercent(run.task().step(), budgets, runner);
            for (RemainingBudget budget : budgets) {
                budget.remaining -= model.predictedLoss(run.task().step(), budget.latencyCritical, runner)
                        * speedPercent
                        / FULL_SPEED_PERCENT;
            }
            adjustSpeed(run, speedPercent, commands, nowNanos);
        }
        return commands;
    }

    /** Notes since when a serving task of the runner is over its target. Readings are whole milliseconds. */
    private static void updateTargetViolation(FleetRunner runner, long nowNanos) {
        boolean violated = false;
        for (Run run : runner.runs.values()) {
            StepDefinition step = run.task().step();
            violated |= step.latencyCritical()
                    && run.phase == Run.Phase.RUNNING
                    && run.measurement >= step.latencyTargetMs();
        }
        if (violated && !runner.targetViolated) {
            runner.targetViolatedSinceNanos = nowNanos;
        }
        runner.targetViolated = violated;
    }

    private List<RemainingBudget> interferenceBudgets(FleetRunner runner) {
        double minHeadroom = runner.targetViolated ? MIN_HEADROOM_AFTER_VIOLATION : MIN_HEADROOM;
        List<RemainingBudget> budgets = new ArrayList<>();
        for (Run run : runner.runs.values()) {
            if (run.task().step().latencyCritical()) {
                budgets.add(new RemainingBudget(
                        run.task().step(), model.forecastBaselineHeadroom(run, CONTROL_DELAY_S) - minHeadroom));
            }
        }
        return budgets;
    }

    /** Returns the speed that the serving task with the least room allows, in percent. */
    private int allowedSpeedPercent(StepDefinition bestEffort, List<RemainingBudget> budgets, FleetRunner runner) {
        double speed = 1;
        for (RemainingBudget budget : budgets) {
            double predictedLoss = model.predictedLoss(bestEffort, budget.latencyCritical, runner);
            speed = Math.min(speed, Math.max(0, budget.remaining) / predictedLoss);
        }
        int speedPercent = (int) (FULL_SPEED_PERCENT * speed);
        return speedPercent < MIN_SPEED_PERCENT ? 0 : speedPercent;
    }

    private static void adjustSpeed(Run run, int speedPercent, List<RunnerCommand> commands, long nowNanos) {
        boolean extreme = speedPercent == 0 || speedPercent == FULL_SPEED_PERCENT;
        boolean largeChange = Math.abs(speedPercent - run.speedPercent) >= MIN_CHANGE_PERCENT;
        if (speedPercent != run.speedPercent && (extreme || largeChange)) {
            commands.add(new RunnerCommand.Throttle(run, speedPercent, run.speedPercent));
            run.speedPercent = speedPercent;
            updateThrottledSince(run, speedPercent, nowNanos);
            run.lastProgressNanos = nowNanos;
        }
    }

    private static void updateThrottledSince(Run run, int speedPercent, long nowNanos) {
        if (speedPercent >= MIN_USEFUL_SPEED_PERCENT) {
            run.throttledSinceNanos = 0;
        } else if (run.throttledSinceNanos == 0) {
            run.throttledSinceNanos = nowNanos;
        }
    }

    private static List<Run> bestEffortRuns(FleetRunner runner) {
        List<Run> bestEffort = new ArrayList<>();
        for (Run run : runner.runs.values()) {
            if (run.task().step().bestEffort() && run.phase == Run.Phase.RUNNING) {
                bestEffort.add(run);
            }
        }
        bestEffort.sort(Comparator.comparingDouble((Run run) -> -run.progressPercent)
                .thenComparing(run -> run.task().key().toString()));
        return bestEffort;
    }
}
