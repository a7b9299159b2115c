package org.tamarackline.process.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tamarackline.standin.fleet.RunObserver;

/** History of all runs as the runners see them. */
final class RunHistory implements RunObserver {

    /**
     * One run.
     *
     * @param endNanos end of the run, the greatest value while it runs
     * @param reason why the run ended, empty while it runs
     * @param endAcknowledged whether a leader has acknowledged its end before the runner's lease expired
     */
    record RecordedRun(
            String task,
            long number,
            String runner,
            long startNanos,
            long endNanos,
            String reason,
            boolean endAcknowledged) {

        boolean active() {
            return endNanos == Long.MAX_VALUE;
        }
    }

    private final Map<String, List<RecordedRun>> runsByTask = new HashMap<>();

    @Override
    public synchronized void runStarted(String runner, String task, long runNumber, long nanos) {
        runsByTask
                .computeIfAbsent(task, key -> new ArrayList<>())
                .add(new RecordedRun(task, runNumber, runner, nanos, Long.MAX_VALUE, "", false));
    }

    @Override
    public synchronized void runEnded(String runner, String task, long runNumber, String reason, long nanos) {
        runsByTask
                .get(task)
                .replaceAll(run -> run.active()
                                && run.number() == runNumber
                                && run.runner().equals(runner)
                        ? new RecordedRun(task, runNumber, runner, run.startNanos(), nanos, reason, false)
                        : run);
    }

    @Override
    public synchronized void endAcknowledged(String runner, String task, long runNumber) {
        runsByTask
                .get(task)
                .replaceAll(run -> !run.active()
                                && run.number() == runNumber
                                && run.runner().equals(runner)
                        ? new RecordedRun(task, runNumber, runner, run.startNanos(), run.endNanos(), run.reason(), true)
                        : run);
    }

    /** Returns the runs of a task in the order of their starts. */
    synchronized List<RecordedRun> runs(String task) {
        return List.copyOf(runsByTask.getOrDefault(task, List.of()));
    }

    synchronized List<String> tasks() {
        return List.copyOf(runsByTask.keySet());
    }

    /** Returns the number of active runs of each runner that has any. */
    synchronized Map<String, Integer> activeRunsByRunner() {
        Map<String, Integer> counts = new HashMap<>();
        runsByTask.values().stream()
                .flatMap(List::stream)
                .filter(RecordedRun::active)
                .forEach(run -> counts.merge(run.runner(), 1, Integer::sum));
        return counts;
    }
}
