package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.Resources;

/** A runner and what the leader has placed on it. */
public final class FleetRunner {

    /**
     * Identifies a run on a runner.
     *
     * @param task task that runs
     * @param runNumber number of the run
     */
    record RunKey(TaskKey task, long runNumber) {}

    private final String id;
    private RunnerDescriptor descriptor;

    /** Whether the directory lists the runner; one that is not listed gets no new tasks. */
    boolean registered;
    /** Whether the runner has told this leader what it runs. */
    boolean statusKnown;
    /** Whether the runner left the last question unanswered. */
    boolean silent;
    /** Whether the runner must not get orders before that is stored. */
    boolean cordoned;
    /** Incarnation that {@link #runs} belong to, 0 before the first listing. */
    long processStartEpochMs;
    /** Highest number in the list of ends that is taken into account. */
    long lastProcessedEnd;

    /** Whether a serving task was over its target in the last report. */
    boolean targetViolated;

    long targetViolatedSinceNanos;

    final RunnerHealth health = new RunnerHealth();
    final Map<RunKey, Run> runs = new HashMap<>();
    /** When a stop was last ordered for a run that the leader does not know. */
    final Map<RunKey, Long> orphanStopNanos = new HashMap<>();

    private Resources reserved = Resources.NONE;
    private long bestEffortMillis;
    private int latencyCriticalRuns;

    FleetRunner(RunnerDescriptor descriptor) {
        this.id = descriptor.id();
        this.descriptor = descriptor;
    }

    /** Returns the identifier of the runner. */
    public String id() {
        return id;
    }

    /** Returns what the directory last said about the runner. */
    public RunnerDescriptor descriptor() {
        return descriptor;
    }

    /** Returns the start of the incarnation that last answered, in milliseconds since 1970, 0 for none. */
    public long processStartEpochMs() {
        return processStartEpochMs;
    }

    /** Returns whether the directory lists the runner. */
    public boolean registered() {
        return registered;
    }

    /** Returns whether the runner has told this leader what it runs. */
    public boolean statusKnown() {
        return statusKnown;
    }

    /** Returns whether the leader knows of a run on the runner. */
    public boolean busy() {
        return !runs.isEmpty();
    }

    /** Returns whether filling tasks work beside serving ones, so that their reports are needed often. */
    public boolean hasColocatedTasks() {
        return latencyCriticalRuns > 0 && bestEffortMillis > 0;
    }

    /** Returns whether the runner has serving tasks. */
    boolean hasLatencyCriticalRuns() {
        return latencyCriticalRuns > 0;
    }

    /** Returns the highest number in the runner's list of ends that is taken into account. */
    public long lastProcessedEnd() {
        return lastProcessedEnd;
    }

    void update(RunnerDescriptor next) {
        this.descriptor = next;
        this.registered = true;
    }

    void add(Run run) {
        runs.put(new RunKey(run.task().key(), run.number()), run);
        run.task().runs.add(run);
        run.task().job().activeRuns++;
        reserved = reserved.plus(run.task().step().reservation());
        if (run.task().step().bestEffort()) {
            bestEffortMillis += run.task().step().demand().processorMillis();
        }
        if (run.task().step().latencyCritical()) {
            latencyCriticalRuns++;
        }
    }

    void remove(Run run) {
        if (runs.remove(new RunKey(run.task().key(), run.number())) == null) {
            return;
        }
        run.task().runs.remove(run);
        run.task().job().activeRuns--;
        reserved = reserved.minus(run.task().step().reservation());
        if (run.task().step().bestEffort()) {
            bestEffortMillis -= run.task().step().demand().processorMillis();
        }
        if (run.task().step().latencyCritical()) {
            latencyCriticalRuns--;
        }
    }

    Run find(TaskKey task, long runNumber) {
        return runs.get(new RunKey(task, runNumber));
    }

    Resources free() {
        return descriptor.capacity().minus(reserved);
    }

    long reservedMillis() {
        return reserved.processorMillis();
    }

    /** Returns what filling tasks asked for, in thousandths of a processor. */
    long bestEffortMillis() {
        return bestEffortMillis;
    }

    int runsOfStep(TaskKey task) {
        int count = 0;
        for (RunKey key : runs.keySet()) {
            TaskKey other = key.task();
            if (other.step() == task.step()
                    && other.occurrence() == task.occurrence()
                    && other.job().equals(task.job())) {
                count++;
            }
        }
        return count;
    }

    List<Run> snapshotOfRuns() {
        return new ArrayList<>(runs.values());
    }
}
