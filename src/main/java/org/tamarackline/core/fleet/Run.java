package org.tamarackline.core.fleet;

/** One start of a task on a runner, from the order until its end is certain. */
public final class Run {

    /** Progress of a run as far as the leader knows. */
    enum Phase {
        /** The start was ordered; whether it took effect is not known. */
        STARTING,
        /** The runner has the run. */
        RUNNING,
        /** The run must end; a stop is repeated until the runner no longer lists it. */
        STOPPING
    }

    /** The speed of a run that another leader started, or whose last order of a speed got no answer. */
    static final int UNKNOWN_SPEED = -1;

    private final Task task;
    private final long number;
    private final FleetRunner runner;
    private final String checkpoint;
    private final long createdNanos;

    Phase phase = Phase.STARTING;
    /** Whether an earlier leader started the run. */
    boolean adopted;
    /** Whether the start was answered, so that a listing asked for later must contain the run. */
    boolean startConfirmed;

    long startConfirmedNanos;
    /** When a stop was last ordered; 0 for never. */
    long stopSentNanos;

    boolean stopConfirmed;
    long stopConfirmedNanos;
    double progressPercent;
    long lastProgressNanos;
    /** Share of its speed that the run was last told to work at, 0 to 100, or {@link #UNKNOWN_SPEED}. */
    int speedPercent = 100;

    /** Since when the run works below the speed at which it is worth its place; 0 while it does not. */
    long throttledSinceNanos;

    /** What the runner last reported: tail latency in milliseconds of a serving run, else processor time in thousandths. */
    double measurement = -1;
    /** Headroom at the last reading, had nothing filled beside the run; 0 before the first reading. */
    double baselineHeadroom;
    /** How uncertain {@link #baselineHeadroom} is, as a variance. */
    double baselineVariance;

    Run(Task task, long number, FleetRunner runner, String checkpoint, long createdNanos) {
        this.task = task;
        this.number = number;
        this.runner = runner;
        this.checkpoint = checkpoint;
        this.createdNanos = createdNanos;
        this.lastProgressNanos = createdNanos;
    }

    /** Returns the task that the run belongs to. */
    public Task task() {
        return task;
    }

    /** Returns the number of the run; the runs of a task have rising numbers. */
    public long number() {
        return number;
    }

    /** Returns the runner that the run was ordered on. */
    public FleetRunner runner() {
        return runner;
    }

    /** Returns the checkpoint that the run resumes from, empty for none. */
    public String checkpoint() {
        return checkpoint;
    }

    /** Returns when the start was ordered, on the leader's monotonic clock. */
    public long createdNanos() {
        return createdNanos;
    }
}
