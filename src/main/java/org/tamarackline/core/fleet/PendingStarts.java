package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Runs of long-running tasks that have a runner but are not started yet, because their placement must be stored first.
 *
 * <p>If a leader started such a run and ended before storing its placement, the next leader would not look for the run.
 */
public final class PendingStarts {

    private final Set<Run> unstored = new LinkedHashSet<>();
    private final Set<Run> stored = new LinkedHashSet<>();

    PendingStarts() {}

    /** Returns the runs of a job whose placement is not known to be stored. */
    public List<Run> unstored(Job job) {
        List<Run> unstoredRuns = new ArrayList<>();
        for (Run run : unstored) {
            if (run.task().job() == job) {
                unstoredRuns.add(run);
            }
        }
        return unstoredRuns;
    }

    /** Records that the placement of runs is stored; those that still exist may start. */
    public void markStored(Collection<Run> runs) {
        for (Run run : runs) {
            if (unstored.remove(run)) {
                stored.add(run);
            }
        }
    }

    void add(Run run) {
        unstored.add(run);
    }

    /** Returns whether a run has not been started yet. */
    boolean contains(Run run) {
        return unstored.contains(run) || stored.contains(run);
    }

    /** Removes a run, so that it is not started. */
    void remove(Run run) {
        unstored.remove(run);
        stored.remove(run);
    }

    /** Returns the runs that wait for their start with a stored placement. */
    List<Run> stored() {
        return List.copyOf(stored);
    }

    /** Removes and returns up to {@code limit} runs to start. */
    List<Run> take(int limit) {
        List<Run> taken = new ArrayList<>();
        Iterator<Run> iterator = stored.iterator();
        while (taken.size() < limit && iterator.hasNext()) {
            taken.add(iterator.next());
            iterator.remove();
        }
        return taken;
    }
}
