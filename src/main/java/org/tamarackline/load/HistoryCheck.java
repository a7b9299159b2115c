package org.tamarackline.load;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.standin.upstream.UpstreamHistory;
import org.tamarackline.standin.worker.RunInterval;
import org.tamarackline.standin.worker.RunInterval.RunOutcome;

/** Compares the outcomes that callers saw with the histories of the stand-ins, to find lost or repeated work. */
public final class HistoryCheck {

    private static final String NOT_EXECUTED = "no";

    private HistoryCheck() {}

    /**
     * Result of comparing requests.
     *
     * @param answered requests whose caller received the complete response
     * @param lost answered requests that no runner received
     * @param runThoughReportedNotRun requests reported to the caller as not run, although a runner received
     *     them
     * @param runTwice requests that runners received more than once
     * @param overloads requests that a runner received while all its slots were in use
     */
    public record RequestCounts(long answered, long lost, long runThoughReportedNotRun, long runTwice, long overloads) {

        /** Returns whether all outcomes were reported correctly, nothing ran twice and no runner was overloaded. */
        public boolean isCorrect() {
            return lost == 0 && runThoughReportedNotRun == 0 && runTwice == 0 && overloads == 0;
        }
    }

    /**
     * Result of comparing tasks.
     *
     * @param finished tasks that finished
     * @param lost accepted tasks that did not finish
     * @param runTwice tasks that finished twice, ran in two places at once, or of which an attempt ran twice
     * @param evicted runs that were stopped by a command
     * @param resumed runs that resumed the saved work of an earlier run
     * @param repeatedWorkMs work that was repeated because that of an earlier run was not saved, in milliseconds
     */
    public record TaskCounts(long finished, long lost, long runTwice, long evicted, long resumed, long repeatedWorkMs) {

        /** Returns whether every task finished and none ran twice. */
        public boolean isCorrect() {
            return lost == 0 && runTwice == 0;
        }
    }

    /** Compares the outcomes of requests with the histories of all runners. */
    public static RequestCounts requests(Collection<RequestOutcome> outcomes, List<UpstreamHistory> histories) {
        Map<String, Integer> received = new HashMap<>();
        histories.forEach(
                history -> history.requests().forEach((id, count) -> received.merge(id, count, Integer::sum)));
        long answered = 0;
        long lost = 0;
        long runThoughReportedNotRun = 0;
        for (RequestOutcome outcome : outcomes) {
            boolean isReceived = received.containsKey(outcome.requestId());
            boolean isAnswered = outcome.kind() == RequestOutcome.Kind.ANSWERED;
            boolean isReportedNotRun = outcome.executed().equals(Optional.of(NOT_EXECUTED));
            answered += isAnswered ? 1 : 0;
            lost += isAnswered && !isReceived ? 1 : 0;
            runThoughReportedNotRun += isReportedNotRun && isReceived ? 1 : 0;
        }
        long runTwice = received.values().stream().filter(count -> count > 1).count();
        long overloads =
                histories.stream().mapToLong(UpstreamHistory::overloads).sum();
        return new RequestCounts(answered, lost, runThoughReportedNotRun, runTwice, overloads);
    }

    /** Compares accepted tasks with the runs of all workers. */
    public static TaskCounts tasks(Set<TaskId> accepted, List<RunInterval> runs) {
        Map<TaskId, List<RunInterval>> byTask = runs.stream().collect(Collectors.groupingBy(RunInterval::taskId));
        long finished = byTask.values().stream()
                .filter(runsOfTask -> count(runsOfTask, RunOutcome.DONE) > 0)
                .count();
        long lost = accepted.stream()
                .filter(task -> count(byTask.getOrDefault(task, List.of()), RunOutcome.DONE) == 0)
                .count();
        long runTwice =
                byTask.values().stream().filter(HistoryCheck::isRunTwice).count();
        long resumed = runs.stream().filter(run -> run.startWorkMs() > 0).count();
        long repeatedWorkMs =
                byTask.values().stream().mapToLong(HistoryCheck::repeatedWorkMs).sum();
        return new TaskCounts(finished, lost, runTwice, count(runs, RunOutcome.STOPPED), resumed, repeatedWorkMs);
    }

    private static long count(List<RunInterval> runs, RunOutcome outcome) {
        return runs.stream().filter(run -> run.outcome() == outcome).count();
    }

    private static boolean isRunTwice(List<RunInterval> runsOfTask) {
        Set<Integer> attempts = new HashSet<>();
        boolean isAttemptRepeated = !runsOfTask.stream().allMatch(run -> attempts.add(run.attempt()));
        return isAttemptRepeated || count(runsOfTask, RunOutcome.DONE) > 1 || overlap(runsOfTask);
    }

    private static boolean overlap(List<RunInterval> runsOfTask) {
        List<RunInterval> sortedRuns = sortedByStart(runsOfTask);
        for (int i = 1; i < sortedRuns.size(); i++) {
            Optional<Long> earlierEnd = sortedRuns.get(i - 1).endNanos();
            if (earlierEnd.isEmpty() || sortedRuns.get(i).startNanos() - earlierEnd.get() < 0) {
                return true;
            }
        }
        return false;
    }

    private static long repeatedWorkMs(List<RunInterval> runsOfTask) {
        List<RunInterval> sortedRuns = sortedByStart(runsOfTask);
        long repeatedMs = 0;
        for (int i = 1; i < sortedRuns.size(); i++) {
            repeatedMs += Math.max(
                    0, sortedRuns.get(i - 1).endWorkMs() - sortedRuns.get(i).startWorkMs());
        }
        return repeatedMs;
    }

    private static List<RunInterval> sortedByStart(List<RunInterval> runsOfTask) {
        return runsOfTask.stream()
                .sorted(Comparator.comparingLong(RunInterval::startNanos))
                .toList();
    }
}
