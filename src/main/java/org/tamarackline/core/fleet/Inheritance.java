package org.tamarackline.core.fleet;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/** Tells for which tasks a run of an earlier leader may exist that this leader has not seen. */
final class Inheritance {

    /** Runners that may run tasks of an earlier leader and have not answered this one. */
    private final Set<String> unheardRunners = new HashSet<>();

    void expect(String runner) {
        unheardRunners.add(runner);
    }

    /** Takes note that a runner has answered, or that nothing of an earlier leader can run there. */
    void settle(String runner) {
        unheardRunners.remove(runner);
    }

    int unheardRunners() {
        return unheardRunners.size();
    }

    /** Returns whether a run of the task may exist on a runner that has not answered. */
    boolean mayRunUnseen(Task task) {
        if (unheardRunners.isEmpty() || !task.job().inherited()) {
            return false;
        }
        if (task.step().longRunning()) {
            return !Collections.disjoint(task.inheritedPlaces, unheardRunners);
        }
        return !earlierStepWasUndone(task);
    }

    /**
     * Returns whether a step that the task comes after was not done under this leader. The runner that showed this refuses
     * earlier leaders from then on, so none of them can have learned that the step was done.
     */
    private static boolean earlierStepWasUndone(Task task) {
        Task[][] steps = task.job().occurrence(task.key().occurrence());
        for (int step : task.step().after()) {
            for (Task earlier : steps[step]) {
                if (earlier.seenUndone) {
                    return true;
                }
            }
        }
        return false;
    }
}
