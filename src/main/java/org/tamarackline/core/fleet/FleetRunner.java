package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.Resources;

/** A runner with the runs that the leader has placed on it, their reserved resources and the health of the runner. */
public final class FleetRunner {

    /**
     * Identifies a run on a runner.
     *
     * @param task task of the run
     * @param runNumber number of the run
     */
    record RunKey(TaskKey task, long runNumber) {}

    private final String id;
    private RunnerDescriptor descriptor;

    /** Whether the runner is in the directory; otherwise it gets no new tasks. */
    boolean registered;
    /** Whether the runner has reported its status to this leader. */
    boolean statusKnown;
    /** Whether the last requests to the runner got no response. */
    boolean silent;
    /** Whether the runner is cordoned, or may be according to the store; meanwhile it gets no new tasks. */
    boolean cordoned;
    /** Whether the store has not confirmed the leader since it learned of the runner's process. */
    boolean unconfirmed;
    /** Whether the runner's process has reported all its runs and ends. */
    boolean reported;
    /** Whether the runner gets no new tasks so that it can discard ended runs. */
    boolean acknowledgementOverdue;
    /** Incarnation that {@link #runs} belong to, 0 before the first status. */
    long processStartEpochMs;
    /** Incarnation that answered last, 0 before the first status; its status need not have been applied. */
    long answeringProcessStartEpochMs;
    /** Highest sequence number of an ended run that was processed. */
    long lastProcessedEnd;

    final UnstoredEnds unstoredEnds = new UnstoredEnds();

    /** Whether a latency-critical task violated its target in the last status. */
    boolean targetViolated;

    long targetViolatedSinceNanos;

    final RunnerHealth health = new RunnerHealth();
    final Map<RunKey, Run> runs = new HashMap<>();
    /** Runs of held jobs in the last status, or in an earlier one if ends may be missing from the last. */
    final Map<RunKey, RunnerStatus.ActiveRun> heldRuns = new HashMap<>();

    /** Runs that the runner has, or may have, beside {@link #runs}. */
    final OrphanedRuns orphanedRuns = new OrphanedRuns();

    /** Starts that processes of the runner may still execute. */
    final UnansweredStarts unansweredStarts;

    private Resources reserved = Resources.NONE;
    private long bestEffortMillis;
    private int latencyCriticalRuns;

    /**
     * Creates a runner that has not reported.
     *
     * @param unansweredStarts starts that were sent to the runner before it was in the directory again
     */
    FleetRunner(RunnerDescriptor descriptor, UnansweredStarts unansweredStarts) {
        this.id = descriptor.id();
        this.descriptor = descriptor;
        this.unansweredStarts = unansweredStarts;
    }

    public String id() {
        return id;
    }

    /** Returns the last directory entry of the runner. */
    public RunnerDescriptor descriptor() {
        return descriptor;
    }

    /** Returns the process start of the incarnation that last reported, in milliseconds since 1970, 0 for none. */
    public long processStartEpochMs() {
        return processStartEpochMs;
    }

    /** Returns whether the runner is in the directory. */
    public boolean registered() {
        return registered;
    }

    /** Returns whether the runner has reported its status to this leader. */
    public boolean statusKnown() {
        return statusKnown;
    }

    /** Returns whether the runner has runs that are not among the leader's own, or may have. */
    public boolean hasOrphanedRuns() {
        return !orphanedRuns.isEmpty();
    }

    /** Returns whether only a further status can tell which runs the runner has. */
    public boolean mayHaveUnreportedRuns() {
        return orphanedRuns.includeUnreported();
    }

    /** Returns whether the runner has any run that the leader knows, or one of a held job. */
    public boolean busy() {
        return !runs.isEmpty() || !heldRuns.isEmpty();
    }

    /**
     * Returns whether the runner has both best-effort and latency-critical tasks, so that its status is needed often.
     */
    public boolean hasColocatedTasks() {
        return latencyCriticalRuns > 0 && bestEffortMillis > 0;
    }

    boolean hasLatencyCriticalRuns() {
        return latencyCriticalRuns > 0;
    }

    /** Returns the position up to which the runner's ended runs were processed. */
    public ProcessedEnds processedEnds() {
        return new ProcessedEnds(processStartEpochMs, lastProcessedEnd);
    }

    /** Returns why the runner gets no new tasks at present. */
    public StartBlock startBlock() {
        if (!registered) {
            return StartBlock.NOT_IN_DIRECTORY;
        }
        if (descriptor.draining()) {
            return StartBlock.DRAINING;
        }
        if (!statusKnown) {
            return StartBlock.NO_STATUS;
        }
        if (!entryMayDescribeProcess()) {
            return StartBlock.ENTRY_OF_OTHER_PROCESS;
        }
        if (silent) {
            return StartBlock.SILENT;
        }
        if (cordoned) {
            return StartBlock.CORDONED;
        }
        if (unconfirmed) {
            return StartBlock.UNCONFIRMED;
        }
        if (acknowledgementOverdue) {
            return StartBlock.ACKNOWLEDGEMENT_OVERDUE;
        }
        if (orphanedRuns.includeUnknownSize()) {
            return StartBlock.RUNS_OF_UNKNOWN_SIZE;
        }
        return hasUnresolvedStarts() ? StartBlock.UNRESOLVED_STARTS : StartBlock.NONE;
    }

    /**
     * Returns whether the directory entry may be of the process that last reported. The next process may have another
     * service, capacity, address and other labels.
     */
    public boolean entryMayDescribeProcess() {
        return processStartEpochMs == 0 || descriptor.mayDescribe(processStartEpochMs);
    }

    /** Returns whether the process that last reported is about to leave, according to the directory. */
    boolean draining() {
        return descriptor.draining() && entryMayDescribeProcess();
    }

    /** Returns whether starts may be sent to the runner at present. */
    boolean acceptsStarts() {
        return startBlock() == StartBlock.NONE;
    }

    /** Returns whether the start of a task may be sent to the runner at present, its capacity aside. */
    boolean acceptsStartOf(Task task) {
        String label = task.step().requiredLabel();
        return acceptsStarts()
                && descriptor.service().equals(task.job().definition().queue().service())
                && (label.isEmpty() || descriptor.labels().contains(label));
    }

    /** Returns whether a start that was given up may still take effect, so that the lease must not be extended. */
    public boolean hasUnresolvedStarts() {
        return !unansweredStarts.toStop().isEmpty();
    }

    /** Returns whether the process that answered last may still execute the start of a run. */
    boolean mayStillStart(Run run, long nowNanos) {
        return unansweredStarts.mayStartOn(answeringProcessStartEpochMs, run.key(), nowNanos);
    }

    void update(RunnerDescriptor next) {
        this.descriptor = next;
        this.registered = true;
    }

    void add(Run run) {
        runs.put(run.key(), run);
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
        if (runs.remove(run.key()) == null) {
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
        Resources free = descriptor.capacity().minus(reserved);
        return orphanedRuns.isEmpty() ? free : free.minus(orphanedRuns.reserved());
    }

    /** Returns whether a run that is placed on the runner fits there, beside all that the runner has by now. */
    boolean hasRoomFor(Run placed) {
        int maxPerRunner = placed.task().step().maxPerRunner();
        boolean withinStepLimit = maxPerRunner == 0 || runsOfStep(placed.task().key()) <= maxPerRunner;
        return withinStepLimit && Resources.NONE.fitsIn(free());
    }

    long reservedMillis() {
        return reserved.processorMillis();
    }

    /** Returns the processor time that best-effort tasks asked for, in thousandths of a processor. */
    long bestEffortMillis() {
        return bestEffortMillis;
    }

    int runsOfStep(TaskKey task) {
        int count = orphanedRuns.countOfStep(task);
        for (RunKey key : runs.keySet()) {
            if (key.task().sameStep(task)) {
                count++;
            }
        }
        return count;
    }

    List<Run> snapshotOfRuns() {
        return new ArrayList<>(runs.values());
    }
}
