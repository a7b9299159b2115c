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
        gaps.forEach(gap -> SoakChecks.firstViolation(gap, faults).ifPresent(at -> violations.add(describe(gap, at))));
        long longRunningJobs = jobs.stream().filter(SoakJob::longRunning).count();
        return new SoakReport(violations, faults.size(), longRunningJobs, summary(jobs, longRunningJobs, gaps));
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
        faults.stream()
                .filter(fault -> fault.overlaps(fromNanos, toNanos))
                .forEach(fault -> lines.add("  " + describe(fault)));
        logs.between(fromNanos, toNanos).stream()
                .filter(line -> concerns(line, gap))
                .forEach(line -> lines.add("  log %s %s".formatted(clock.format(line.nanos()), line.fields())));
        return String.join(System.lineSeparator(), lines);
    }

    /** Returns whether a line tells of the leadership, of the task, or of the runner of its last run. */
    private static boolean concerns(NodeLogs.Line line, SoakChecks.Gap gap) {
        String task = line.fields().path("task").asText();
        String runner = line.fields().path("runner").asText();
        if (!task.isEmpty()) {
            return task.equals(gap.task());
        }
        return runner.isEmpty()
                || gap.lastRun().map(run -> run.runner().equals(runner)).orElse(true);
    }
}
