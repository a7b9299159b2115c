package org.tamarackline.core.fleet;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/** Tells for which tasks a run of an earlier leader may exist that this leader has not seen. */
final class InheritedRuns {

    /** Runners that may run tasks of an earlier leader and have not answered this one. */
    private final Set<String> unreportedRunners = new HashSet<>();

    void expectStatus(String runner) {
        unreportedRunners.add(runner);
    }

    /** Takes note that a runner has answered, or that nothing of an earlier leader can run there. */
    void markResolved(String runner) {
        unreportedRunners.remove(runner);
    }

    int unreportedRunners() {
        return unreportedRunners.size();
    }

    /** Returns whether a run of the task may exist on a runner that has not answered. */
    boolean mayRunUnreported(Task task) {
        if (unreportedRunners.isEmpty() || !task.job().inherited()) {
            return false;
        }
        if (task.step().longRunning()) {
            return !Collections.disjoint(task.inheritedRunners, unreportedRunners);
        }
        return !dependencyEndedUnderThisLeader(task);
    }

    /** Returns whether a task of a step that the task comes after ended unknown to earlier leaders. */
    private static boolean dependencyEndedUnderThisLeader(Task task) {
        Task[][] steps = task.job().occurrence(task.key().occurrence());
        for (int step : task.step().dependencies()) {
            for (Task dependency : steps[step]) {
                if (dependency.endedUnderThisLeader) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether no earlier leader can learn of the end of a run: this leader started it, or has known it at work for
     * so long that its runner answers no question of an earlier leader any more. An earlier leader may hear of the end of
     * a gang from the runner of another member, and of a copy of a speculative task from the runner of another copy.
     */
    static boolean endIsUnknownToEarlierLeaders(Run run, long nowNanos) {
        if (!run.adopted) {
            return true;
        }
        StepDefinition step = run.task().step();
        boolean single = !step.gang() && !step.speculative();
        return single && nowNanos - run.createdNanos() > SchedulingLimits.EARLIER_LEADER_REQUEST_NANOS;
    }
}
