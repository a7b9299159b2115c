package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.fleet.TaskKey;

/** What the simulated runners saw, checked against the rules for runs. */
final class RunHistory implements ProtocolRunner.Observer {

    private static final long NANOS_PER_MS = 1_000_000;

    /** Time for which a start may still be sent after the withdrawal of its job was answered, in nanoseconds. */
    private static final long WITHDRAWAL_TOLERANCE_NANOS = 3_000 * NANOS_PER_MS;

    /** Time for which a start may still be sent after its job was shown as completed, in nanoseconds. */
    private static final long COMPLETION_TOLERANCE_NANOS = 1_000 * NANOS_PER_MS;

    private static final Comparator<TaskKey> TASK_ORDER = Comparator.comparing(TaskKey::job)
            .thenComparingInt(TaskKey::occurrence)
            .thenComparingInt(TaskKey::step)
            .thenComparingInt(TaskKey::index);

    /** Rule that a run or a job broke. */
    enum Rule {
        /** Two runs of a task at the same time on live processes. */
        CONCURRENT_RUNS,
        /** A start after a run has ended as done, if that end is acknowledged then or later. */
        STARTED_AFTER_END,
        /** A start sent more than a second after the job was shown as completed. */
        STARTED_AFTER_COMPLETION,
        /** A start before all tasks of an earlier step have ended as done. */
        STARTED_BEFORE_DEPENDENCIES,
        /** A start on a runner of another service, without the label of the step, or beyond its share of the step. */
        STARTED_ON_WRONG_RUNNER,
        /** A start that brings a runner over its capacity, with the runs that are being stopped. */
        STARTED_OVER_CAPACITY,
        /** A start sent long after the job was withdrawn, or an acceptance of it. */
        WITHDRAWN_JOB_ACCEPTED,
        /** A start after as many acknowledged failures as the queue permits. */
        TOO_MANY_ATTEMPTS,
        /** A terminal state that the runs do not justify. */
        WRONG_STATE,
        /** An accepted job without a terminal state long after the faults. */
        JOB_NOT_FINISHED,
        /** A long-running task without a run for longer than its bound, at a calm moment. */
        LONG_RUNNING_TASK_STOPPED,
        /** A run of a cancelled job long after the faults. */
        CANCELLED_JOB_RUNS,
        /** A run of a cancelled job that goes on for longer than its bound, at a calm moment. */
        CANCELLED_JOB_RUNS_ON,
        /** A start sent long after the cancellation of the job was answered, by a node in touch with the store. */
        CANCELLED_JOB_STARTED,
        /** A start sent long after the directory has shown that the runner will leave. */
        STARTED_ON_LEAVING_RUNNER,
        /** A configuration that is not in force in time on a node in touch with the store. */
        CONFIGURATION_LATE,
        /** A run that ended with its lease although only the store was unavailable for a while. */
        LEASE_EXPIRED_IN_STORE_OUTAGE,
        /** A leader that was replaced although only the store was unavailable for a while. */
        LEADER_REPLACED_IN_STORE_OUTAGE,
        /** No leader that starts and stops tasks for longer than the bound, at a calm moment. */
        NO_LEADER_ACTS,
        /** A run that ended with its lease although the store failed the transactions of one node only. */
        LEASE_EXPIRED_IN_WRITE_FAILURE
    }

    /**
     * A broken rule.
     *
     * @param timeMs time of the simulation
     * @param rule rule that was broken
     * @param task task or job that broke it
     * @param detail what happened
     */
    record Violation(long timeMs, Rule rule, String task, String detail) {

        @Override
        public String toString() {
            return timeMs + " ms: " + rule + " " + task + ": " + detail;
        }
    }

    /**
     * A run that has not ended.
     *
     * @param startNanos when the runner started it
     * @param sentNanos when its start was sent
     */
    record LiveRun(TaskKey task, long number, long epoch, String runner, long startNanos, long sentNanos) {}

    private record RunKey(TaskKey task, long number) {}

    private record EndKey(String runner, long processStartEpochMs, long number) {}

    private record Sent(long nanos, String sender) {}

    private record Start(
            long nanos, String runner, int process, long processStartNanos, long number, long epoch, Sent sent) {

        @Override
        public String toString() {
            return "run %d of epoch %d on %s (process %d, up since %d ms), started at %d ms, sent at %d ms by %s"
                    .formatted(
                            number,
                            epoch,
                            runner,
                            process,
                            processStartNanos / NANOS_PER_MS,
                            nanos / NANOS_PER_MS,
                            sent.nanos() / NANOS_PER_MS,
                            sent.sender());
        }
    }

    private static final class End {

        private final long nanos;
        private final String runner;
        private final int process;
        private final RunnerStatus.EndedRun end;
        private boolean acknowledged;
        private boolean reported;

        End(long nanos, ProtocolRunner runner, RunnerStatus.EndedRun end) {
            this.nanos = nanos;
            this.runner = runner.id();
            this.process = runner.process();
            this.end = end;
        }

        @Override
        public String toString() {
            return "end %d of run %d on %s (process %d) as %s at %d ms%s"
                    .formatted(
                            end.sequenceNumber(),
                            end.runNumber(),
                            runner,
                            process,
                            end.reason(),
                            nanos / NANOS_PER_MS,
                            reported ? "" : " [no node received it before its acknowledgement]");
        }
    }

    /** Runs of one task. */
    private static final class TaskHistory {

        private final List<Start> starts = new ArrayList<>();
        private final List<Start> live = new ArrayList<>();
        private final List<End> ends = new ArrayList<>();
        private boolean done;
        private long lastRunNanos;
        private final Set<Long> failedRuns = new HashSet<>();
    }

    private final ManualLoop loop;
    private final boolean tracing;
    private final Map<String, JobDefinition> jobs = new TreeMap<>();
    private final Map<TaskKey, TaskHistory> tasks = new TreeMap<>(TASK_ORDER);
    private final Map<RunKey, Sent> sentStarts = new HashMap<>();
    private final Map<EndKey, End> ends = new HashMap<>();
    private final Map<String, Long> processStarts = new TreeMap<>();
    private final Map<String, Long> shownCompletedNanos = new TreeMap<>();
    private final Map<String, Long> withdrawnNanos = new TreeMap<>();
    private final Map<String, JobState> shownStates = new TreeMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    private long digest;

    RunHistory(ManualLoop loop, boolean tracing) {
        this.loop = loop;
        this.tracing = tracing;
    }

    List<Violation> violations() {
        return violations;
    }

    /** Returns all events; empty without tracing. */
    List<String> trace() {
        return trace;
    }

    /** Returns a hash of all events and their times. */
    long digest() {
        return digest;
    }

    /** Records an event for the trace, described by parts of a sentence. */
    void event(Object... parts) {
        digest = 31 * digest + loop.nowNanos();
        digest = 31 * digest + parts.length;
        if (tracing) {
            String sentence = Stream.of(parts).map(String::valueOf).collect(Collectors.joining(" "));
            trace.add(nowMs() + " ms: " + sentence);
        }
    }

    private long nowMs() {
        return loop.nowNanos() / NANOS_PER_MS;
    }

    void report(Rule rule, String subject, String detail) {
        violations.add(new Violation(nowMs(), rule, subject, detail));
        event("VIOLATION", rule, subject, ":", detail);
    }

    /** Records that a job is submitted. */
    void submitted(JobDefinition job) {
        jobs.put(job.id(), job);
        event("submits", job);
    }

    /** Returns a submitted job. */
    JobDefinition job(String id) {
        return jobs.get(id);
    }

    /** Records that the cancellation of a job was answered that there is no such job. */
    void withdrawn(String job) {
        event("the withdrawal of", job, "is answered");
        withdrawnNanos.putIfAbsent(job, loop.nowNanos());
    }

    private StepDefinition stepOf(TaskKey task) {
        return jobs.get(task.job()).steps().get(task.step());
    }

    private TaskHistory historyOf(TaskKey task) {
        return tasks.computeIfAbsent(task, key -> new TaskHistory());
    }

    /** Records that a node sends a start. */
    void startSent(String sender, TaskKey task, long number, long epoch, String runner) {
        event(sender, "sends start of", text(task), "run", number, "epoch", epoch, "to", runner);
        sentStarts.put(new RunKey(task, number), new Sent(loop.nowNanos(), sender));
    }

    /** Records that a node received a status of a runner's process. */
    void statusReceived(String node, String runner, RunnerStatus status) {
        for (RunnerStatus.EndedRun ended : status.endedRuns()) {
            End end = ends.get(new EndKey(runner, status.processStartEpochMs(), ended.sequenceNumber()));
            if (end != null && !end.reported) {
                end.reported = true;
                event(node, "receives", end);
            }
        }
    }

    void processStarted(ProtocolRunner runner) {
        event(runner.id(), "starts process", runner.process(), "at", runner.address());
        processStarts.put(runner.id(), loop.nowNanos());
    }

    @Override
    public void processEnded(ProtocolRunner runner) {
        event(runner.id(), "ends its process");
        for (TaskHistory task : tasks.values()) {
            if (task.live.removeIf(start -> start.runner().equals(runner.id()))) {
                task.lastRunNanos = loop.nowNanos();
            }
        }
    }

    @Override
    public void started(ProtocolRunner runner, TaskKey task, long number, long epoch) {
        TaskHistory history = historyOf(task);
        Start start = new Start(
                loop.nowNanos(),
                runner.id(),
                runner.process(),
                processStarts.get(runner.id()),
                number,
                epoch,
                sentStarts.get(new RunKey(task, number)));
        event(runner.id(), "starts", text(task), ":", start);
        if (!history.live.isEmpty()) {
            report(Rule.CONCURRENT_RUNS, text(task), start + "; beside " + history.live.getFirst());
        }
        history.starts.add(start);
        history.live.add(start);
        checkRunner(task, start, runner.descriptor());
        if (runner.overCapacity()) {
            report(Rule.STARTED_OVER_CAPACITY, text(task), start.toString());
        }
        checkWithdrawal(task, start);
        if (!stepOf(task).longRunning()) {
            checkEarlierEnds(task, history, start);
            checkCompletion(task, start);
            checkDependencies(task, start);
        }
    }

    private void checkRunner(TaskKey task, Start start, RunnerDescriptor runner) {
        StepDefinition step = stepOf(task);
        boolean permitted = runner.service().equals(jobs.get(task.job()).queue().service())
                && (step.requiredLabel().isEmpty() || runner.labels().contains(step.requiredLabel()));
        long runsOfStep = tasks.entrySet().stream()
                .filter(other -> other.getKey().job().equals(task.job())
                        && other.getKey().occurrence() == task.occurrence()
                        && other.getKey().step() == task.step())
                .flatMap(other -> other.getValue().live.stream())
                .filter(live -> live.runner().equals(runner.id()))
                .count();
        if (!permitted || (step.maxPerRunner() > 0 && runsOfStep > step.maxPerRunner())) {
            report(Rule.STARTED_ON_WRONG_RUNNER, text(task), start + "; of its step: " + runsOfStep);
        }
    }

    private void checkWithdrawal(TaskKey task, Start start) {
        Long nanos = withdrawnNanos.get(task.job());
        if (nanos != null && start.sent().nanos() - nanos > WITHDRAWAL_TOLERANCE_NANOS) {
            report(Rule.WITHDRAWN_JOB_ACCEPTED, text(task), start + "; withdrawn at " + nanos / NANOS_PER_MS + " ms");
        }
    }

    private void checkEarlierEnds(TaskKey task, TaskHistory history, Start start) {
        for (End end : history.ends) {
            if (end.end.reason() == EndReason.DONE && end.acknowledged) {
                report(Rule.STARTED_AFTER_END, text(task), start + "; after " + end);
                return;
            }
        }
        checkAttempts(task, history, start);
    }

    private void checkAttempts(TaskKey task, TaskHistory history, Start start) {
        long failures = history.ends.stream()
                .filter(end -> end.end.reason() == EndReason.FAILED && end.acknowledged && end.nanos <= start.nanos())
                .count();
        if (failures >= jobs.get(task.job()).queue().maxAttempts()) {
            report(Rule.TOO_MANY_ATTEMPTS, text(task), start + "; after " + failures + " failures");
        }
    }

    private void checkCompletion(TaskKey task, Start start) {
        Long shownNanos = shownCompletedNanos.get(task.job());
        if (shownNanos != null && start.sent().nanos() - shownNanos > COMPLETION_TOLERANCE_NANOS) {
            report(
                    Rule.STARTED_AFTER_COMPLETION,
                    text(task),
                    start + "; the job was shown as completed at " + shownNanos / NANOS_PER_MS + " ms");
        }
    }

    private void checkDependencies(TaskKey task, Start start) {
        JobDefinition job = jobs.get(task.job());
        for (int step : stepOf(task).dependencies()) {
            for (int index = 0; index < job.steps().get(step).count(); index++) {
                TaskKey dependency = new TaskKey(task.job(), task.occurrence(), step, index);
                if (!historyOf(dependency).done) {
                    report(Rule.STARTED_BEFORE_DEPENDENCIES, text(task), start + "; before " + text(dependency));
                }
            }
        }
    }

    @Override
    public void ended(ProtocolRunner runner, RunnerStatus.EndedRun ended) {
        TaskHistory history = historyOf(ended.task());
        End end = new End(loop.nowNanos(), runner, ended);
        event(runner.id(), "ends", text(ended.task()), ":", end);
        history.live.removeIf(start -> start.runner().equals(runner.id()) && start.number() == ended.runNumber());
        history.lastRunNanos = loop.nowNanos();
        history.ends.add(end);
        ends.put(keyOf(runner, ended), end);
        history.done |= ended.reason() == EndReason.DONE;
        if (ended.reason() == EndReason.FAILED) {
            history.failedRuns.add(ended.runNumber());
        }
    }

    private static EndKey keyOf(ProtocolRunner runner, RunnerStatus.EndedRun ended) {
        return new EndKey(runner.id(), runner.descriptor().processStartEpochMs(), ended.sequenceNumber());
    }

    @Override
    public void acknowledged(ProtocolRunner runner, RunnerStatus.EndedRun ended, boolean leaseExpiredSinceEnd) {
        End end = ends.get(keyOf(runner, ended));
        event(runner.id(), "drops", text(ended.task()), ":", end, ", leaseExpired=", leaseExpiredSinceEnd);
        if (leaseExpiredSinceEnd) {
            return;
        }
        end.acknowledged = true;
        if (stepOf(ended.task()).longRunning()) {
            return;
        }
        TaskHistory history = historyOf(ended.task());
        for (Start start : history.starts) {
            if (ended.reason() == EndReason.DONE && start.nanos() >= end.nanos) {
                report(Rule.STARTED_AFTER_END, text(ended.task()), start + "; after " + end + " [acknowledged later]");
            }
            if (ended.reason() == EndReason.FAILED && start.nanos() >= end.nanos) {
                checkAttempts(ended.task(), history, start);
            }
        }
    }

    /** Records the state of a job that a leader shows. */
    void stateShown(String node, String job, JobState state, boolean cancellationRequested) {
        if (!state.terminal() || shownStates.get(job) == state) {
            return;
        }
        event(node, "shows", job, "as", state);
        JobState other = shownStates.put(job, state);
        if (other != null) {
            report(Rule.WRONG_STATE, job, state + " after " + other);
        }
        if (state == JobState.COMPLETED) {
            shownCompletedNanos.putIfAbsent(job, loop.nowNanos());
        }
        if (!justified(job, state, cancellationRequested)) {
            report(Rule.WRONG_STATE, job, state + " shown by " + node);
        }
    }

    private boolean justified(String job, JobState state, boolean cancellationRequested) {
        JobDefinition definition = jobs.get(job);
        return switch (state) {
            case COMPLETED -> tasksOf(definition).stream().allMatch(task -> historyOf(task).done);
            case FAILED ->
                tasksOf(definition).stream()
                        .anyMatch(task -> failedRuns(task) >= definition.queue().maxAttempts());
            case CANCELLED -> cancellationRequested;
            default -> true;
        };
    }

    /** Returns the number of failed runs of a task, or of its gang, whose members share the number of a run. */
    private int failedRuns(TaskKey task) {
        Set<Long> failed = new HashSet<>();
        int members = stepOf(task).gang() ? stepOf(task).count() : 1;
        for (int i = 0; i < members; i++) {
            int index = members == 1 ? task.index() : i;
            TaskKey member = new TaskKey(task.job(), task.occurrence(), task.step(), index);
            failed.addAll(historyOf(member).failedRuns);
        }
        return failed.size();
    }

    /** Returns the tasks of all occurrences of a job. */
    static List<TaskKey> tasksOf(JobDefinition job) {
        List<TaskKey> all = new ArrayList<>();
        for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
            for (int step = 0; step < job.steps().size(); step++) {
                for (int index = 0; index < job.steps().get(step).count(); index++) {
                    all.add(new TaskKey(job.id(), occurrence, step, index));
                }
            }
        }
        return all;
    }

    boolean runs(TaskKey task) {
        return !historyOf(task).live.isEmpty();
    }

    /** Returns the runs of a task that have not ended. */
    List<LiveRun> liveRuns(TaskKey task) {
        return historyOf(task).live.stream()
                .map(start -> new LiveRun(
                        task,
                        start.number(),
                        start.epoch(),
                        start.runner(),
                        start.nanos(),
                        start.sent().nanos()))
                .toList();
    }

    /** Returns when the last run of a task ended, 0 if none has ended. */
    long lastRunNanos(TaskKey task) {
        return historyOf(task).lastRunNanos;
    }

    /** Returns the number of runs that ended because their lease expired. */
    long leaseExpiryCount() {
        return tasks.values().stream()
                .flatMap(task -> task.ends.stream())
                .filter(end -> end.end.reason() == EndReason.LEASE_EXPIRED)
                .count();
    }

    int startCount() {
        return tasks.values().stream().mapToInt(task -> task.starts.size()).sum();
    }

    private static String text(TaskKey task) {
        return task.job() + "." + task.occurrence() + "." + task.step() + "." + task.index();
    }
}
