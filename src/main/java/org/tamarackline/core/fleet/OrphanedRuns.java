package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.fleet.FleetRunner.RunKey;
import org.tamarackline.core.model.Resources;

/**
 * Runs that a runner has, or may have, and that are not among the leader's own: runs that must end, because their task
 * needs none or is not known, and runs of held jobs. They take room until the runner no longer reports them.
 */
final class OrphanedRuns {

    /**
     * One such run.
     *
     * @param reservation resources that it takes, empty if they are not known
     * @param reported whether the runner has reported it; otherwise it may not exist
     * @param knownNanos when it was last reported, or became possible
     */
    private record Orphan(Optional<Resources> reservation, boolean reported, long knownNanos) {}

    private final Map<RunKey, Orphan> orphans = new HashMap<>();
    private Resources reserved = Resources.NONE;
    private int ofUnknownSize;
    private int unreported;

    /** Adds a run that the runner reports. */
    void addReported(RunKey run, Optional<Resources> reservation, long nowNanos) {
        put(run, new Orphan(reservation, true, nowNanos));
    }

    /** Adds a run that may exist and end soon, because its stop was confirmed and the runner has not reported since. */
    void addPossible(RunKey run, Optional<Resources> reservation, long nowNanos) {
        put(run, new Orphan(reservation, false, nowNanos));
    }

    private void put(RunKey run, Orphan next) {
        Orphan previous = take(run);
        // The job of the run may have been forgotten since.
        Optional<Resources> reservation =
                previous == null ? next.reservation() : next.reservation().or(previous::reservation);
        orphans.put(run, new Orphan(reservation, next.reported(), next.knownNanos()));
        reserved = reserved.plus(reservation.orElse(Resources.NONE));
        ofUnknownSize += reservation.isEmpty() ? 1 : 0;
        unreported += next.reported() ? 0 : 1;
    }

    /** Removes a run and returns it; null if there is none. */
    private Orphan take(RunKey run) {
        Orphan orphan = orphans.remove(run);
        if (orphan != null) {
            reserved = reserved.minus(orphan.reservation().orElse(Resources.NONE));
            ofUnknownSize -= orphan.reservation().isEmpty() ? 1 : 0;
            unreported -= orphan.reported() ? 0 : 1;
        }
        return orphan;
    }

    /** Removes a run that has ended, or has become one of the leader's own. */
    void remove(RunKey run) {
        take(run);
    }

    /** Removes the runs that a status does not contain although it was requested after they were known. */
    void retainReported(Set<RunKey> reported, long requestSentNanos) {
        for (RunKey run : Set.copyOf(orphans.keySet())) {
            if (!reported.contains(run) && requestSentNanos - orphans.get(run).knownNanos() > 0) {
                take(run);
            }
        }
    }

    /** Removes all runs, because the process that had them has ended. */
    void clear() {
        orphans.clear();
        reserved = Resources.NONE;
        ofUnknownSize = 0;
        unreported = 0;
    }

    boolean isEmpty() {
        return orphans.isEmpty();
    }

    /** Returns whether some run may exist that the runner has not reported. */
    boolean includeUnreported() {
        return unreported > 0;
    }

    /** Returns whether the resources of some run are not known. */
    boolean includeUnknownSize() {
        return ofUnknownSize > 0;
    }

    /** Returns the resources that the runs of known size take. */
    Resources reserved() {
        return reserved;
    }

    /** Returns the number of runs of the step of a task. */
    int countOfStep(TaskKey task) {
        return (int) orphans.keySet().stream()
                .filter(run -> run.task().sameStep(task))
                .count();
    }
}
