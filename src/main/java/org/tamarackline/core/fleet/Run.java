package org.tamarackline.core.fleet;

/** One start of a task on a runner, from the start command until it is certain that the run has ended. */
public final class Run {

    /** State of a run as far as the leader knows. */
    enum Phase {
        /** The start is not confirmed; the run may not exist yet. */
        STARTING,
        /** The runner confirmed or reported the run. */
        RUNNING,
        /** The run must end; stop commands are repeated until the runner no longer reports it. */
        STOPPING
    }

    /** Speed of a run that another leader started, or whose last throttle command was not confirmed. */
    static final int UNKNOWN_SPEED = -1;

    private final Task task;
    private final long number;
    private final FleetRunner runner;
    private final String checkpoint;
    private final long createdNanos;

    Phase phase = Phase.STARTING;
    /** Whether an earlier leader started the run. */
    boolean adopted;
    /** Whether the start was confirmed, so that a status requested later must contain the run. */
    boolean startConfirmed;

    long startConfirmedNanos;
    /** Runner's clock in the first status that contained the run, in milliseconds, -1 before. */
    long firstReportedClockMs = -1;
    /** Runner's clock in the last status that contained the run, in milliseconds, -1 before. */
    long lastReportedClockMs = -1;

    boolean stopConfirmed;
    long stopConfirmedNanos;
    double progressPercent;
    long lastProgressNanos;
    /** Speed that was last set, 0 to 100, or {@link #UNKNOWN_SPEED}. */
    int speedPercent = 100;

    /** Since when the speed is too low to be worth staying on the runner, 0 if it is not. */
    long throttledSinceNanos;

    /**
     * Last reported measurement: tail latency in milliseconds for a latency-critical run, processor time in thousandths
     * of a processor for any other, -1 for none.
     */
    double measurement = -1;
    /**
     * Headroom at the last measurement, corrected for best-effort tasks on the runner; 0 before the first measurement.
     */
    double baselineHeadroom;
    /** Variance of {@link #baselineHeadroom}. */
    double baselineVariance;

    Run(Task task, long number, FleetRunner runner, String checkpoint, long createdNanos) {
        this.task = task;
        this.number = number;
        this.runner = runner;
        this.checkpoint = checkpoint;
        this.createdNanos = createdNanos;
        this.lastProgressNanos = createdNanos;
    }

    /** Records that a status which the runner wrote at this time of its clock contains the run. */
    void reportedAt(long clockMs) {
        if (firstReportedClockMs < 0) {
            firstReportedClockMs = clockMs;
        }
        lastReportedClockMs = Math.max(lastReportedClockMs, clockMs);
    }

    public Task task() {
        return task;
    }

    /** Returns what identifies the run on its runner. */
    FleetRunner.RunKey key() {
        return new FleetRunner.RunKey(task.key(), number);
    }

    /** Returns the number of the run; later runs of a task have higher numbers. */
    public long number() {
        return number;
    }

    public FleetRunner runner() {
        return runner;
    }

    /** Returns the checkpoint that the run resumes from, empty for none. */
    public String checkpoint() {
        return checkpoint;
    }

    /** Returns when this leader created or adopted the run, on its monotonic clock. */
    public long createdNanos() {
        return createdNanos;
    }
}
