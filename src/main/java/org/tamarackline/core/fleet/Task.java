package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/** A task of a job, its current runs, and what is known about its earlier ones. */
public final class Task {

    private final Job job;
    private final TaskKey key;
    private final StepDefinition step;

    boolean done;
    /**
     * Numbers of the failed runs. A set, because ends are reported again after a change of leader, and in any order.
     */
    final SortedSet<Long> failedRunNumbers = new TreeSet<>();

    long lastRunNumber;
    String checkpoint = "";
    final List<Run> runs = new ArrayList<>(1);
    /** Runners on which earlier leaders may have left a run; only for long-running tasks. */
    final Set<String> inheritedRunners = new HashSet<>();
    /** Runners on which the task failed or stalled. */
    final AvoidedRunners avoidedRunners = new AvoidedRunners();

    boolean ready;
    /** Whether the task has become ready and none of its runs was confirmed since. */
    boolean waiting;
    /** When the task became ready, meaningful only if {@link #waiting}. */
    long waitingSinceNanos;
    /** Whether the task was completed by a run whose end no earlier leader can have learned of. */
    boolean endUnknownToEarlierLeaders;

    Task(Job job, TaskKey key, StepDefinition step) {
        this.job = job;
        this.key = key;
        this.step = step;
    }

    public Job job() {
        return job;
    }

    public TaskKey key() {
        return key;
    }

    public StepDefinition step() {
        return step;
    }

    /** Keeps the checkpoint of a run, unless a later run is known. */
    void updateCheckpoint(long runNumber, String next) {
        if (step.checkpointed() && !next.isEmpty() && runNumber >= lastRunNumber) {
            checkpoint = next;
        }
    }

    Run findRun(long runNumber) {
        for (Run run : runs) {
            if (run.number() == runNumber) {
                return run;
            }
        }
        return null;
    }
}
