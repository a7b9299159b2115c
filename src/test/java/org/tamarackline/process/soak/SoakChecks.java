package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Rules that the runs of a soak must keep, judged only by what the runners did and what the callers were answered. */
final class SoakChecks {

    /** Longest time that a long-running task may have no run, whatever happens: 6 s after its last run and 3 s more. */
    private static final Duration MAX_STANDING = Duration.ofSeconds(9);

    /** Time without a fault after which the rule holds: a calm stretch of 4 s, and the 3 s during which a task stands. */
    private static final Duration CALM = Duration.ofSeconds(7);

    /**
     * A time in which a task of an accepted job had no run.
     *
     * @param fromNanos end of its last run, or the acceptance of its job
     * @param toNanos start of its next run, or the end of the observation
     * @param lastRun last run, empty if there was none
     * @param nextRun next run, empty if there was none
     */
    record Gap(
            String task,
            long fromNanos,
            long toNanos,
            Optional<RunHistory.RecordedRun> lastRun,
            Optional<RunHistory.RecordedRun> nextRun) {

        long lengthMs() {
            return (toNanos - fromNanos) / 1_000_000;
        }
    }

    /** Two runs of a task at the same time. */
    record Overlap(RunHistory.RecordedRun first, RunHistory.RecordedRun second) {}

    /** A start of a task that a run had completed before. */
    record Repetition(RunHistory.RecordedRun completed, RunHistory.RecordedRun repeated) {}

    private SoakChecks() {}

    /** Returns the gaps between runs of the long-running tasks of a job. */
    static List<Gap> gaps(SoakJob job, RunHistory history, long observedUntilNanos) {
        long endNanos = Math.min(observedUntilNanos, job.cancelledNanos());
        List<Gap> gaps = new ArrayList<>();
        for (String task : job.taskNames()) {
            long fromNanos = job.acceptedNanos();
            Optional<RunHistory.RecordedRun> last = Optional.empty();
            for (RunHistory.RecordedRun run : history.runs(task)) {
                if (run.startNanos() > fromNanos && run.startNanos() < endNanos) {
                    gaps.add(new Gap(task, fromNanos, run.startNanos(), last, Optional.of(run)));
                }
                last = Optional.of(run);
                fromNanos = Math.max(fromNanos, run.endNanos());
            }
            if (fromNanos < endNanos) {
                gaps.add(new Gap(task, fromNanos, endNanos, last, Optional.empty()));
            }
        }
        return gaps;
    }

    /** Returns the first moment of a gap at which the rule is broken; empty if it is kept. */
    static Optional<Long> firstViolation(Gap gap, List<Fault> faults) {
        return firstCalmMoment(gap.fromNanos() + MAX_STANDING.toNanos(), gap.toNanos(), CALM, faults);
    }

    /** Returns the first moment before {@code untilNanos} that has no fault in the time before it. */
    static Optional<Long> firstCalmMoment(long fromNanos, long untilNanos, Duration timeBefore, List<Fault> faults) {
        long moment = fromNanos;
        boolean moved = true;
        while (moved && moment < untilNanos) {
            moved = false;
            for (Fault fault : faults) {
                if (fault.overlaps(moment - timeBefore.toNanos(), moment)) {
                    moment = fault.endNanos() > untilNanos ? untilNanos : fault.endNanos() + timeBefore.toNanos() + 1;
                    moved = true;
                }
            }
        }
        return moment < untilNanos ? Optional.of(moment) : Optional.empty();
    }

    /** Returns the pairs of runs of a task that were active at the same time. */
    static List<Overlap> overlaps(RunHistory history) {
        List<Overlap> overlaps = new ArrayList<>();
        for (String task : history.tasks()) {
            RunHistory.RecordedRun latest = null;
            for (RunHistory.RecordedRun run : history.runs(task)) {
                if (latest != null && run.startNanos() < latest.endNanos()) {
                    overlaps.add(new Overlap(latest, run));
                }
                latest = latest == null || run.endNanos() > latest.endNanos() ? run : latest;
            }
        }
        return overlaps;
    }

    /** Returns the starts of tasks after a run of them had ended as {@code done} and its end was acknowledged. */
    static List<Repetition> repetitions(RunHistory history) {
        List<Repetition> repetitions = new ArrayList<>();
        for (String task : history.tasks()) {
            List<RunHistory.RecordedRun> runs = history.runs(task);
            runs.stream()
                    .filter(run -> run.reason().equals("done") && run.endAcknowledged())
                    .min(Comparator.comparingLong(RunHistory.RecordedRun::endNanos))
                    .ifPresent(completed -> runs.stream()
                            .filter(run -> run.startNanos() > completed.endNanos())
                            .forEach(run -> repetitions.add(new Repetition(completed, run))));
        }
        return repetitions;
    }
}
