package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Runs of lasting tasks that are placed and not ordered yet, because their place must be stored first.
 *
 * <p>A leader that ended between an order and its record would leave a run that its successor does not look for.
 */
public final class PendingStarts {

    private final Set<Run> unstored = new LinkedHashSet<>();
    private final Set<Run> markStored = new LinkedHashSet<>();

    PendingStarts() {}

    /** Returns the runs of a job whose place is not known to be stored. */
    public List<Run> unstored(Job job) {
        List<Run> unstoredRuns = new ArrayList<>();
        for (Run run : unstored) {
            if (run.task().job() == job) {
                unstoredRuns.add(run);
            }
        }
        return unstoredRuns;
    }

    /** Takes note that the progress of their jobs was stored with these runs; those that still exist may be ordered. */
    public void markStored(Collection<Run> runs) {
        for (Run run : runs) {
            if (unstored.remove(run)) {
                markStored.add(run);
            }
        }
    }

    void add(Run run) {
        unstored.add(run);
    }

    /** Returns whether a run has a place and was not ordered. */
    boolean contains(Run run) {
        return unstored.contains(run) || markStored.contains(run);
    }

    /** Keeps a run from being ordered. */
    void remove(Run run) {
        unstored.remove(run);
        markStored.remove(run);
    }

    /** Returns up to {@code limit} runs to order, and regards them as ordered. */
    List<Run> take(int limit) {
        List<Run> taken = new ArrayList<>();
        Iterator<Run> iterator = markStored.iterator();
        while (taken.size() < limit && iterator.hasNext()) {
            taken.add(iterator.next());
            iterator.remove();
        }
        return taken;
    }
}
