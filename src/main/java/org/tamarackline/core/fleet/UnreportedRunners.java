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

    /** Records that a runner may run tasks of an earlier leader. */
    void add(String runner) {
        runners.add(runner);
    }

    /** Records that a runner has reported its status, or that no run of an earlier leader can exist there. */
    void remove(String runner) {
        runners.remove(runner);
    }

    boolean contains(String runner) {
        return runners.contains(runner);
    }

    int count() {
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
     * Returns whether a dependency of the task was completed by a run whose end no earlier leader can have learned of,
     * so that no earlier leader can have started the task.
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
     * Returns whether no earlier leader can learn of the end of a run. That is so if this leader started the run, or has
     * seen it running for longer after the first status than its runner may take to respond to a request of an earlier
     * leader that it accepted, and the run is neither of a gang nor of a speculative step. An earlier leader may learn that
     * a gang has ended from the runner of another task of the gang, and that a speculative task has ended from the runner of
     * another run.
     *
     * <p>When this leader learns of the end does not matter, because a poll may have got no answer meanwhile.
     */
    static boolean endIsUnknownToEarlierLeaders(Run run) {
        if (!run.adopted) {
            return true;
        }
        return run.task().step().endKnownToOneRunner()
                && run.lastReportedClockMs - run.firstReportedClockMs > SchedulingLimits.EARLIER_LEADER_REQUEST_MS;
    }
}
