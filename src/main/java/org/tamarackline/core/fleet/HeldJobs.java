package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.model.Resources;

/**
 * Tracks the held jobs, whose records in the store cannot be read, and the ends of their runs.
 *
 * <p>Which tasks of a held job are done is not known, so none of them starts. Its runs go on. Their ends are stored one
 * by one, so that the runners may discard them, and are applied once the job can be loaded.
 */
public final class HeldJobs {

    private final Map<String, Set<HeldEnd>> endsOfHeldJobs = new LinkedHashMap<>();
    /** Definitions of those held jobs whose own record can be read. */
    private final Map<String, JobDefinition> definitions = new HashMap<>();

    private final Set<String> cancellations = new LinkedHashSet<>();
    private final Set<HeldEnd> unstoredEnds = new LinkedHashSet<>();
    /** Stored ends of jobs that are not held. */
    private final Map<String, Set<HeldEnd>> endsOfOtherJobs = new HashMap<>();

    private final Set<HeldEnd> obsoleteEnds = new LinkedHashSet<>();

    HeldJobs() {}

    /** Adds an end that an earlier leader stored; called before the jobs are read. */
    public void restoreEnd(HeldEnd end) {
        endsOfOtherJobs
                .computeIfAbsent(end.task().job(), job -> new LinkedHashSet<>())
                .add(end);
    }

    /** Holds a job. Does nothing if it is held. */
    void hold(String job) {
        if (!contains(job)) {
            Set<HeldEnd> ends = endsOfOtherJobs.remove(job);
            endsOfHeldJobs.put(job, ends == null ? new LinkedHashSet<>() : ends);
        }
    }

    /** Records the definition of a held job. */
    void define(JobDefinition job) {
        definitions.put(job.id(), job);
    }

    /** Returns the resources that a task of a held job takes, empty if they are not known. */
    Optional<Resources> reservation(TaskKey task) {
        return Optional.ofNullable(definitions.get(task.job()))
                .filter(job -> task.step() < job.steps().size())
                .map(job -> job.steps().get(task.step()).reservation());
    }

    /** Returns whether a job is held. */
    public boolean contains(String job) {
        return endsOfHeldJobs.containsKey(job);
    }

    /** Returns the identifiers of the held jobs. */
    public List<String> ids() {
        return List.copyOf(endsOfHeldJobs.keySet());
    }

    /** Returns the number of held jobs. */
    public int count() {
        return endsOfHeldJobs.size();
    }

    /** Records the end of a run of a held job; returns whether it was not known. */
    boolean addEnd(RunnerStatus.EndedRun entry) {
        HeldEnd end = HeldEnd.of(entry);
        boolean added = endsOfHeldJobs.get(end.task().job()).add(end);
        if (added) {
            unstoredEnds.add(end);
        }
        return added;
    }

    /** Stores the end of a run of a job that is not held, because the store rejects the progress of the job. */
    void storeEnd(RunnerStatus.EndedRun entry) {
        HeldEnd end = HeldEnd.of(entry);
        if (endsOfOtherJobs
                .computeIfAbsent(end.task().job(), job -> new LinkedHashSet<>())
                .add(end)) {
            unstoredEnds.add(end);
        }
    }

    /** Stops holding a job that is loaded now, and returns its ends, which become obsolete with its stored progress. */
    Collection<HeldEnd> release(String job) {
        definitions.remove(job);
        Set<HeldEnd> ends = endsOfHeldJobs.remove(job);
        if (ends != null) {
            unstoredEnds.removeAll(ends);
            cancellations.remove(job);
            endsOfOtherJobs.put(job, ends);
        }
        return List.copyOf(endsOfOtherJobs.getOrDefault(job, Set.of()));
    }

    /** Stops holding a job that was removed or has a terminal state; its ends are obsolete. */
    void drop(String job) {
        release(job);
        markObsolete(job);
    }

    /** Records that the store no longer needs the ends of a job, because its progress contains them or it has ended. */
    public void markObsolete(String job) {
        Set<HeldEnd> ends = endsOfOtherJobs.remove(job);
        if (ends != null) {
            unstoredEnds.removeAll(ends);
            obsoleteEnds.addAll(ends);
        }
    }

    /** Marks the stored ends of jobs that do not exist as obsolete; called once all jobs were read. */
    void markOthersObsolete(Set<String> openJobs) {
        for (String job : List.copyOf(endsOfOtherJobs.keySet())) {
            if (!openJobs.contains(job)) {
                markObsolete(job);
            }
        }
    }

    /** Requests that a held job be stored as cancelled. */
    void cancel(String job) {
        cancellations.add(job);
    }

    /** Returns the held jobs that are to be stored as cancelled. */
    public List<String> cancellations() {
        return List.copyOf(cancellations);
    }

    /** Returns the ends to store before the runners may discard them. */
    public List<HeldEnd> unstoredEnds() {
        return List.copyOf(unstoredEnds);
    }

    /** Returns whether an end is to be stored on its own, and is not in a transaction that stores these. */
    boolean isUnstored(RunnerStatus.EndedRun entry, Collection<HeldEnd> endsInTransaction) {
        if (unstoredEnds.isEmpty()) {
            return false;
        }
        HeldEnd end = HeldEnd.of(entry);
        return unstoredEnds.contains(end) && !endsInTransaction.contains(end);
    }

    /** Records that ends are stored. */
    public void markStored(Collection<HeldEnd> ends) {
        unstoredEnds.removeAll(ends);
    }

    /** Returns the ends to remove from the store. */
    public List<HeldEnd> obsoleteEnds() {
        return List.copyOf(obsoleteEnds);
    }

    /** Records that ends were removed from the store. */
    public void markRemoved(Collection<HeldEnd> ends) {
        obsoleteEnds.removeAll(ends);
    }

    /** Returns whether there is anything to store or to remove. */
    public boolean dirty() {
        return !unstoredEnds.isEmpty() || !obsoleteEnds.isEmpty() || !cancellations.isEmpty();
    }
}
