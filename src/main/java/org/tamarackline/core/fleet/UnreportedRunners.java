package org.tamarackline.core.fleet;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the runners that may run tasks of an earlier leader and have not reported their status to this one, and tells
 * which tasks must wait for them.
 */
final class UnreportedRunners {

    /** Runners that may run tasks of an earlier leader and have not reported to this one. */
    private final Set<String> runners = new HashSet<>();

    void add(String runner) {
        runners.add(runner);
    }

    /** Records that a runner has reported its status, or that no run of an earlier leader can exist there. */
    void remove(String runner) {
        runners.remove(runner);
    }

    int runners() {
        return runners.size();
    }

    /** Returns whether a run of the task may exist on a runner that has not reported its status. */
    boolean mayHaveRunOf(Task task) {
        if (runners.isEmpty() || !task.job().inherited()) {
            return false;
        }
        if (task.step().longRunning()) {
            return !Collections.disjoint(task.inheritedRunners, runners);
        }
        return !dependencyEndUnknownToEarlierLeaders(task);
    }

    /**
     * Returns whether a dependency of the task ended without any earlier leader learning of it, so that no earlier
     * leader can have started the task.
     */
    private static boolean dependencyEndUnknownToEarlierLeaders(Task task) {
        Task[][] steps = task.job().occurrence(task.key().occurrence());
        for (int step : task.step().dependencies()) {
            for (Task dependency : steps[step]) {
                if (dependency.endUnknownToEarlierLeaders) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns whether no earlier leader can learn of the end of a run: this leader started the run, or has known it for
     * longer than its runner may take to respond to an earlier leader. An earlier leader may learn of the end of a gang
     * from the runner of another member, and of a speculative task from the runner of another copy.
     */
    static boolean endIsUnknownToEarlierLeaders(Run run, long nowNanos) {
        if (!run.adopted) {
            return true;
        }
        StepDefinition step = run.task().step();
        boolean onlyItsRunnerReportsTheEnd = !step.gang() && !step.speculative();
        return onlyItsRunnerReportsTheEnd
                && nowNanos - run.createdNanos() > SchedulingLimits.EARLIER_LEADER_REQUEST_NANOS;
    }
}
