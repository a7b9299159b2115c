package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Evaluates the record of a soak and describes what broke a rule. */
final class SoakEvaluation {

    private static final Duration LOG_BEFORE_GAP = Duration.ofSeconds(3);
    private static final Duration LOG_AFTER_GAP = Duration.ofSeconds(1);
    private static final int MAX_SHOWN_GAPS = 5;

    private final SoakClock clock;
    private final RunHistory history;
    private final NodeLogs logs;
    private final List<Fault> faults;

    SoakEvaluation(SoakClock clock, RunHistory history, NodeLogs logs, List<Fault> faults) {
        this.clock = clock;
        this.history = history;
        this.logs = logs;
        this.faults = faults;
    }

    SoakReport report(List<SoakJob> jobs, List<String> unknownJobs, long observedUntilNanos) {
        List<SoakChecks.Gap> gaps = jobs.stream()
                .filter(SoakJob::longRunning)
                .flatMap(job -> SoakChecks.gaps(job, history, observedUntilNanos).stream())
                .sorted(Comparator.comparingLong(SoakChecks.Gap::lengthMs).reversed())
                .toList();
        List<String> violations = new ArrayList<>(unknownJobs);
        SoakChecks.overlaps(history).forEach(overlap -> violations.add(describe(overlap)));
        SoakChecks.repetitions(history).forEach(repetition -> violations.add(describe(repetition)));
        gaps.forEach(gap -> SoakChecks.firstViolation(gap, faults).ifPresent(at -> violations.add(describe(gap, at))));
        CancellationChecks cancellations = new CancellationChecks(history, faults, observedUntilNanos);
        jobs.forEach(job -> cancellations.violations(job).forEach(violation -> violations.add(describe(violation))));
        List<SoakJob> checked = jobs.stream().filter(cancellations::checked).toList();
        if (checked.isEmpty()) {
            violations.add("no cancellation was checked; use a longer soak");
        }
        long longRunningJobs = jobs.stream().filter(SoakJob::longRunning).count();
        List<String> summary = new ArrayList<>(summary(jobs, longRunningJobs, gaps));
        summary.addAll(1, cancellationSummary(jobs, checked, cancellations));
        return new SoakReport(violations, faults.size(), longRunningJobs, checked.size(), summary);
    }

    private static List<String> cancellationSummary(
            List<SoakJob> jobs, List<SoakJob> checked, CancellationChecks cancellations) {
        return List.of(
                "%d cancellations, %d answered; %d checked, %d of them with runs when they were sent, %d of long-running jobs"
                        .formatted(
                                jobs.stream().filter(SoakJob::cancelled).count(),
                                jobs.stream().filter(SoakJob::cancelAnswered).count(),
                                checked.size(),
                                checked.stream()
                                        .filter(cancellations::ranWhenSent)
                                        .count(),
                                checked.stream().filter(SoakJob::longRunning).count()),
                "longest time from the answer of a cancellation to the end of the last run: %d ms checked, %d ms of all"
                        .formatted(longestEndDelayMs(checked, cancellations), longestEndDelayMs(jobs, cancellations)));
    }

    private static long longestEndDelayMs(List<SoakJob> jobs, CancellationChecks cancellations) {
        return jobs.stream()
                .flatMapToLong(job -> cancellations.endDelayMs(job).stream())
                .max()
                .orElse(0);
    }

    private List<String> summary(List<SoakJob> jobs, long longRunningJobs, List<SoakChecks.Gap> gaps) {
        List<String> lines = new ArrayList<>();
        lines.add("%d jobs accepted, %d of them long-running; %d faults; %d leaders; %d suspicions"
                .formatted(
                        jobs.size(),
                        longRunningJobs,
                        faults.size(),
                        logs.lines("leader-started").size(),
                        logs.lines("leader-suspected").size()));
        gaps.stream().limit(MAX_SHOWN_GAPS).forEach(gap -> lines.add("stood: " + describe(gap)));
        faults.forEach(fault -> lines.add(describe(fault)));
        Suspicions.unexplained(logs, faults, clock).forEach(line -> lines.add("without a fault: " + line));
        return lines;
    }

    private String describe(SoakChecks.Overlap overlap) {
        return "task runs twice: %s and %s".formatted(describe(overlap.first()), describe(overlap.second()));
    }

    private String describe(SoakChecks.Repetition repetition) {
        return "task starts after it was completed: %s and %s"
                .formatted(describe(repetition.completed()), describe(repetition.repeated()));
    }

    /** Describes a run that breaks the rule of cancellations, with the faults and the lines of the logs around it. */
    private String describe(CancellationChecks.Violation violation) {
        SoakJob job = violation.job();
        RunHistory.RecordedRun run = violation.run();
        long fromNanos = Math.min(run.startNanos(), job.cancelAnsweredNanos()) - LOG_BEFORE_GAP.toNanos();
        long toNanos = (run.active() ? violation.momentNanos() : run.endNanos()) + LOG_AFTER_GAP.toNanos();
        String rule = violation.lateStart() ? "is started too late" : "runs on";
        List<String> lines = new ArrayList<>();
        lines.add("task of a cancelled job %s, calm at %s, cancellation answered at %s: %s"
                .formatted(
                        rule,
                        clock.format(violation.momentNanos()),
                        clock.format(job.cancelAnsweredNanos()),
                        describe(run)));
        addSurroundings(lines, fromNanos, toNanos, run.task(), Optional.of(run.runner()));
        return String.join(System.lineSeparator(), lines);
    }

    private String describe(RunHistory.RecordedRun run) {
        String end = run.active() ? "runs" : clock.format(run.endNanos()) + " (" + run.reason() + ")";
        return "run %d of %s on %s from %s to %s"
                .formatted(run.number(), run.task(), run.runner(), clock.format(run.startNanos()), end);
    }

    private String describe(SoakChecks.Gap gap) {
        return String.format(
                Locale.ROOT,
                "task %s for %d ms from %s to %s; before: %s; after: %s",
                gap.task(),
                gap.lengthMs(),
                clock.format(gap.fromNanos()),
                clock.format(gap.toNanos()),
                describe(gap.lastRun()),
                describe(gap.nextRun()));
    }

    private String describe(Fault fault) {
        return "fault of %s: %s from %s to %s"
                .formatted(
                        fault.target(), fault.kind(), clock.format(fault.beginNanos()), clock.format(fault.endNanos()));
    }

    private String describe(Optional<RunHistory.RecordedRun> run) {
        return run.map(this::describe).orElse("none");
    }

    /** Describes a gap that breaks the rule, with the faults and the lines of the logs around it. */
    private String describe(SoakChecks.Gap gap, long violationNanos) {
        long fromNanos = gap.fromNanos() - LOG_BEFORE_GAP.toNanos();
        long toNanos = gap.toNanos() + LOG_AFTER_GAP.toNanos();
        List<String> lines = new ArrayList<>();
        lines.add("long-running task stands at a calm moment, %s: %s"
                .formatted(clock.format(violationNanos), describe(gap)));
        addSurroundings(lines, fromNanos, toNanos, gap.task(), gap.lastRun().map(RunHistory.RecordedRun::runner));
        return String.join(System.lineSeparator(), lines);
    }

    private void addSurroundings(
            List<String> lines, long fromNanos, long toNanos, String task, Optional<String> runner) {
        faults.stream()
                .filter(fault -> fault.overlaps(fromNanos, toNanos))
                .forEach(fault -> lines.add("  " + describe(fault)));
        logs.between(fromNanos, toNanos).stream()
                .filter(line -> concerns(line, task, runner))
                .forEach(line -> lines.add("  log %s %s".formatted(clock.format(line.nanos()), line.fields())));
    }

    /** Returns whether a line tells of the leadership, of the task, or of the runner of the run in question. */
    private static boolean concerns(NodeLogs.Line line, String task, Optional<String> runner) {
        String lineTask = line.fields().path("task").asText();
        String lineRunner = line.fields().path("runner").asText();
        if (!lineTask.isEmpty()) {
            return lineTask.equals(task);
        }
        return lineRunner.isEmpty() || runner.map(lineRunner::equals).orElse(true);
    }
}
