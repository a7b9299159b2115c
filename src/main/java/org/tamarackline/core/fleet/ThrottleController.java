package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sets the speed of best-effort tasks so that the latency-critical tasks on the same runner meet their latency targets.
 *
 * <p>The tasks with the most progress get full speed as far as the interference model permits; the others are paused
 * and keep their memory. When a target has been violated for {@link #MAX_VIOLATION_NANOS}, all best-effort tasks of the
 * runner are paused.
 */
final class ThrottleController {

    /**
     * Time of violation of a target after which all best-effort tasks are paused, well below the limit on such
     * violations.
     */
    private static final long MAX_VIOLATION_NANOS = 1_400_000_000L;
    /** Smallest change of speed that is worth a command, in percent. */
    private static final int MIN_CHANGE_PERCENT = 15;
    /** Lowest speed above a pause, in percent. */
    private static final int MIN_SPEED_PERCENT = 20;
    /** Speed below which a best-effort task should be migrated, in percent. */
    private static final int MIN_USEFUL_SPEED_PERCENT = 40;
    /**
     * Headroom to preserve for latency-critical tasks. The target is at 1; the margin covers load changes during the
     * measurement delay.
     */
    static final double MIN_HEADROOM = 1.1;
    /** Headroom to preserve on a runner where a target is violated. */
    private static final double MIN_HEADROOM_DURING_VIOLATION = 1.4;

    /** Delay between the load that a measurement reflects and the effect of a command, in seconds. */
    private static final double CONTROL_DELAY_S = 0.7;

    private static final int FULL_SPEED_PERCENT = 100;

    private final InterferenceModel model;

    ThrottleController(InterferenceModel model) {
        this.model = model;
    }

    /** Headroom that a latency-critical run can still lose to best-effort tasks. */
    private static final class RemainingBudget {
        private final StepDefinition latencyCritical;
        private double remaining;

        RemainingBudget(StepDefinition latencyCritical, double remaining) {
            this.latencyCritical = latencyCritical;
            this.remaining = remaining;
        }
    }

    /** Returns the commands to send after a status of the runner. */
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

    /**
     * Updates since when a target is violated on the runner. Latencies are rounded to whole milliseconds, so one at the
     * target counts as a violation.
     */
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
        double minHeadroom = runner.targetViolated ? MIN_HEADROOM_DURING_VIOLATION : MIN_HEADROOM;
        List<RemainingBudget> budgets = new ArrayList<>();
        for (Run run : runner.runs.values()) {
            if (run.task().step().latencyCritical()) {
                budgets.add(new RemainingBudget(
                        run.task().step(), model.forecastBaselineHeadroom(run, CONTROL_DELAY_S) - minHeadroom));
            }
        }
        return budgets;
    }

    /** Returns the speed that the smallest remaining budget permits, in percent. */
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
