package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Finds filling runs that are slowed down where another runner would let them work; they resume from a checkpoint. */
final class SlowedRuns {

    private final Placement placement;
    private long reviewedNanos;

    SlowedRuns(Placement placement) {
        this.placement = placement;
    }

    /** Returns the runs to stop, so that their tasks start elsewhere; empty between two reviews. */
    List<Run> due(Collection<FleetRunner> runners, long nowNanos) {
        List<Run> due = new ArrayList<>();
        if (nowNanos - reviewedNanos <= FleetTimes.MOVE_REVIEW_NANOS) {
            return due;
        }
        reviewedNanos = nowNanos;
        placement.startRound();
        for (FleetRunner runner : runners) {
            for (Run run : runner.runs.values()) {
                if (due.size() < FleetTimes.MOVES_PER_ROUND
                        && movable(run, nowNanos)
                        && placement.betterElsewhere(run, runners, nowNanos)) {
                    due.add(run);
                }
            }
        }
        return due;
    }

    private static boolean movable(Run run, long nowNanos) {
        return run.task().step().filler()
                && run.task().step().checkpointed()
                && run.phase == Run.Phase.RUNNING
                && run.slowedNanos != 0
                && nowNanos - run.slowedNanos > FleetTimes.SLOWED_BEFORE_MOVE_NANOS;
    }
}
