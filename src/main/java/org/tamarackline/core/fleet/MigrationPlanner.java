package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects runs to migrate: runs on a runner that is about to leave, and throttled best-effort runs, if another runner
 * can take them. Only runs that lose no work are migrated: long-running ones and those that resume from a checkpoint.
 */
final class MigrationPlanner {

    /** Progress from which a run on a draining runner is left to end there, in percent. */
    private static final double MIN_PROGRESS_TO_STAY_PERCENT = 60;

    private final RunnerSelector runnerSelector;
    private long lastReviewNanos;

    MigrationPlanner(RunnerSelector runnerSelector) {
        this.runnerSelector = runnerSelector;
    }

    /** Returns the runs to stop, so that their tasks restart on another runner; empty between two reviews. */
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
                        && runnerSelector.hasMigrationTarget(run, runners, nowNanos)) {
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
        if (run.runner().draining()) {
            return step.longRunning() || (step.checkpointed() && run.progressPercent < MIN_PROGRESS_TO_STAY_PERCENT);
        }
        return step.bestEffort()
                && step.checkpointed()
                && run.throttledSinceNanos != 0
                && nowNanos - run.throttledSinceNanos > SchedulingLimits.THROTTLED_BEFORE_MIGRATION_NANOS;
    }

    /** Returns the reason for a migration, for the log. */
    static String reason(Run run) {
        return run.runner().draining()
                ? "its runner is about to leave and another runner has capacity"
                : "slowed down for latency-critical tasks while another runner has capacity";
    }
}
