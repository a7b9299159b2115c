package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Rules that the runs of a soak must keep, judged only by what the runners did. */
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
        long moment = gap.fromNanos() + MAX_STANDING.toNanos();
        boolean moved = true;
        while (moved && moment < gap.toNanos()) {
            moved = false;
            for (Fault fault : faults) {
                if (fault.overlaps(moment - CALM.toNanos(), moment)) {
                    moment = fault.endNanos() > gap.toNanos() ? gap.toNanos() : fault.endNanos() + CALM.toNanos() + 1;
                    moved = true;
                }
            }
        }
        return moment < gap.toNanos() ? Optional.of(moment) : Optional.empty();
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
}
