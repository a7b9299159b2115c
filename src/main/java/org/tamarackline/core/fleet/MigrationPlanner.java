package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Finds runs that had better go on elsewhere: those that would end with a runner that is about to leave, and filling ones that
 * are slowed down. Only runs that lose nothing are moved: lasting ones and those that resume from a checkpoint.
 */
final class MigrationPlanner {

    /** Progress from which a run on a runner that is about to leave is left to end there, in percent. */
    private static final double MIN_PROGRESS_TO_STAY_PERCENT = 60;

    private final RunnerSelector runnerSelector;
    private long lastReviewNanos;

    MigrationPlanner(RunnerSelector runnerSelector) {
        this.runnerSelector = runnerSelector;
    }

    /** Returns the runs to stop, so that their tasks start elsewhere; empty between two reviews. */
    List<Run> runsToMigrate(Collection<FleetRunner> runners, long nowNanos) {
        List<Run> selected = new ArrayList<>();
        if (nowNanos - lastReviewNanos <= SchedulingLimits.MIGRATION_REVIEW_NANOS) {
            return selected;
        }
        lastReviewNanos = nowNanos;
        runnerSelector.clearCache();
        for (FleetRunner runner : runners) {
            for (Run run : runner.runs.values()) {
                if (selected.size() < SchedulingLimits.MAX_MIGRATIONS_PER_REVIEW
                        && isMigratable(run, nowNanos)
                        && runnerSelector.hasBetterRunner(run, runners, nowNanos)) {
                    selected.add(run);
                }
            }
        }
        return selected;
    }

    private static boolean isMigratable(Run run, long nowNanos) {
        StepDefinition step = run.task().step();
        if (run.phase != Run.Phase.RUNNING || step.gang()) {
            return false;
        }
        if (run.runner().descriptor().draining()) {
            return step.longRunning() || (step.checkpointed() && run.progressPercent < MIN_PROGRESS_TO_STAY_PERCENT);
        }
        return step.bestEffort()
                && step.checkpointed()
                && run.throttledSinceNanos != 0
                && nowNanos - run.throttledSinceNanos > SchedulingLimits.THROTTLED_BEFORE_MIGRATION_NANOS;
    }

    /** Returns why a run is moved, for the log. */
    static String reason(Run run) {
        return run.runner().descriptor().draining()
                ? "its runner is about to leave and another one has room"
                : "slowed down for serving tasks while another runner has room";
    }
}
