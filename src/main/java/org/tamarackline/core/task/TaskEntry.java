package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** The row of one unfinished task, with the state that the owner of the rack keeps only in memory. */
final class TaskEntry {

    static final int UNTHROTTLED_PERCENT = 100;

    /** Number of usage samples from which the measured size is used. */
    private static final int MIN_SAMPLES = 3;

    /** The command that the worker still has to carry out for the committed row. */
    enum PendingCommand {
        NONE,
        START,
        CHECKPOINT,
        STOP
    }

    /** Progress of the {@link ResultLookup} for the attempt on a silent worker. */
    enum Lookup {
        NONE,
        DUE,
        IN_FLIGHT
    }

    TaskRow row;
    long version;
    Optional<PendingChange> pendingChange = Optional.empty();
    boolean changeInFlight;
    boolean cancelRequested;

    PendingCommand pendingCommand = PendingCommand.NONE;
    Lookup lookup = Lookup.NONE;
    boolean commandInFlight;
    int commandTries;
    long retryAtNanos;
    /** Whether a start of this attempt was sent, or is about to be, and may still be accepted. */
    boolean startMayBeAccepted;
    /** Whether an earlier start of this attempt got no response. */
    boolean startUnconfirmed;
    /** Whether an earlier owner made the assignment. */
    boolean assignedByEarlierOwner;
    /** Event to propose once the worker has confirmed the stop of an abandoned attempt. */
    Optional<TaskEvent> eventAfterStop = Optional.empty();
    /**
     * Sequence number of the command outcome or renewal by which the worker confirmed the start. Only a renewal with a
     * higher number proves that the worker lacks the attempt.
     */
    long startConfirmedSequence;

    long waitingSinceNanos;
    Optional<Long> evictedAtNanos = Optional.empty();
    long workDoneMs;
    long savedWorkMs;
    Optional<String> lastCheckpointKey = Optional.empty();
    /** Speed that the worker has confirmed, in percent of full speed. */
    int speedPercent = UNTHROTTLED_PERCENT;

    int targetSpeedPercent = UNTHROTTLED_PERCENT;

    private Resources averageUsage = Resources.NONE;
    private int samples;

    TaskEntry(VersionedRow stored, long nowNanos) {
        this.row = stored.row();
        this.version = stored.version();
        this.savedWorkMs = row.work().savedMs();
        this.workDoneMs = savedWorkMs;
        this.waitingSinceNanos = nowNanos;
    }

    /**
     * A row change that waits to be committed.
     *
     * @param change change
     * @param followUp command that the worker gets after the commit
     */
    record PendingChange(RowChange change, FollowUp followUp) {}

    /** The command that the worker of an ended attempt gets after the commit. */
    enum FollowUp {
        NONE,
        FORGET,
        STOP
    }

    TaskId task() {
        return row.task();
    }

    boolean acceptsChange() {
        return pendingChange.isEmpty() && !changeInFlight && !cancelRequested;
    }

    /** Returns the larger of the declared size and the measured one. */
    Resources size() {
        Resources declared = row.spec().resources();
        return samples < MIN_SAMPLES ? declared : declared.max(averageUsage);
    }

    void recordUsage(Resources used) {
        averageUsage = samples == 0 ? used : average(averageUsage, used);
        samples++;
    }

    private static Resources average(Resources older, Resources newer) {
        return new Resources(
                (older.processorMillis() + newer.processorMillis()) / 2,
                (older.memoryMb() + newer.memoryMb()) / 2,
                Math.max(older.accelerators(), newer.accelerators()));
    }

    /**
     * Returns the event for an attempt that ended without finishing or was never started.
     *
     * @param checkpointKey newest checkpoint, empty to keep the recorded one
     */
    TaskEvent interruptedEvent(Optional<String> checkpointKey) {
        return new TaskEvent.Interrupted(checkpointKey, work());
    }

    TaskEvent workerFailedEvent(WorkerId worker) {
        return new TaskEvent.WorkerFailed(worker, work());
    }

    private TaskRow.Work work() {
        long lostMs = Math.max(0, workDoneMs - savedWorkMs);
        return new TaskRow.Work(savedWorkMs, row.work().repeatedMs() + lostMs);
    }

    void setPendingCommand(PendingCommand next) {
        pendingCommand = next;
        commandTries = 0;
        retryAtNanos = 0;
    }
}
