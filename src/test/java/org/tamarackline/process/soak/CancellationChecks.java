package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Rule that the tasks of a cancelled job are not started any more and end in time. It holds at each moment that no fault
 * precedes within the bound and the time in which the nodes settle.
 */
final class CancellationChecks {

    /** Time without a fault before the answer of a cancellation. */
    private static final Duration SETTLING = Duration.ofSeconds(4);

    /** Time after the answer of a cancellation up to which tasks of the job may be started. */
    static final Duration MAX_START_DELAY = Duration.ofSeconds(3);

    /** Time after the answer up to which tasks may run: that of starts, and 0.2 s in which a runner stops a run. */
    static final Duration MAX_RUN_DELAY = MAX_START_DELAY.plusMillis(200);

    /**
     * A run that breaks the rule.
     *
     * @param lateStart whether it was started too late; otherwise it ran on for too long
     * @param momentNanos calm moment at which the rule is broken
     */
    record Violation(SoakJob job, RunHistory.RecordedRun run, boolean lateStart, long momentNanos) {}

    private final RunHistory history;
    private final List<Fault> faults;
    private final long observedUntilNanos;

    CancellationChecks(RunHistory history, List<Fault> faults, long observedUntilNanos) {
        this.history = history;
        this.faults = faults;
        this.observedUntilNanos = observedUntilNanos;
    }

    /** Returns the runs of a job that were started too late after its cancellation was answered, or ran on for too long. */
    List<Violation> violations(SoakJob job) {
        List<Violation> violations = new ArrayList<>();
        if (!job.cancelAnswered()) {
            return violations;
        }
        for (RunHistory.RecordedRun run : runs(job)) {
            if (startedLate(job, run)) {
                violations.add(new Violation(job, run, true, run.startNanos()));
            } else {
                long fromNanos = Math.max(run.startNanos(), job.cancelAnsweredNanos() + MAX_RUN_DELAY.toNanos());
                long untilNanos = Math.min(run.endNanos(), observedUntilNanos);
                SoakChecks.firstCalmMoment(fromNanos, untilNanos, SETTLING.plus(MAX_RUN_DELAY), faults)
                        .ifPresent(moment -> violations.add(new Violation(job, run, false, moment)));
            }
        }
        return violations;
    }

    private boolean startedLate(SoakJob job, RunHistory.RecordedRun run) {
        return run.startNanos() - job.cancelAnsweredNanos() > MAX_START_DELAY.toNanos()
                && run.startNanos() < observedUntilNanos
                && calm(run.startNanos(), MAX_START_DELAY);
    }

    private boolean calm(long momentNanos, Duration bound) {
        long fromNanos = momentNanos - bound.plus(SETTLING).toNanos();
        return faults.stream().noneMatch(fault -> fault.overlaps(fromNanos, momentNanos));
    }

    /**
     * Returns whether a cancellation was checked at its bound: the time from before the answer to the bound was calm, and
     * a task of the job was not completed when the answer came.
     */
    boolean checked(SoakJob job) {
        if (!job.cancelAnswered()) {
            return false;
        }
        long boundNanos = job.cancelAnsweredNanos() + MAX_RUN_DELAY.toNanos();
        return boundNanos < observedUntilNanos && calm(boundNanos, MAX_RUN_DELAY) && !completedAtAnswer(job);
    }

    private boolean completedAtAnswer(SoakJob job) {
        return job.taskNames().stream()
                .allMatch(task -> history.runs(task).stream()
                        .anyMatch(run -> run.reason().equals("done") && run.endNanos() <= job.cancelAnsweredNanos()));
    }

    /** Returns whether a task of the job ran when its cancellation was sent; it may have ended before the answer. */
    boolean ranWhenSent(SoakJob job) {
        return runs(job).stream()
                .anyMatch(run -> run.startNanos() <= job.cancelledNanos() && run.endNanos() > job.cancelledNanos());
    }

    /** Returns the time from the answer of a cancellation to the end of the job's last run; empty if it was over before. */
    OptionalLong endDelayMs(SoakJob job) {
        return runs(job).stream()
                .filter(run -> job.cancelAnswered() && run.endNanos() > job.cancelAnsweredNanos())
                .mapToLong(
                        run -> (Math.min(run.endNanos(), observedUntilNanos) - job.cancelAnsweredNanos()) / 1_000_000)
                .max();
    }

    private List<RunHistory.RecordedRun> runs(SoakJob job) {
        return job.taskNames().stream()
                .flatMap(task -> history.runs(task).stream())
                .toList();
    }
}
