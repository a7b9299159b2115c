package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The runs of a task. */
final class TaskHistory {

    private final int step;
    private final NavigableMap<Long, RunHistory> runs = new TreeMap<>();

    TaskHistory(int step) {
        this.step = step;
    }

    int step() {
        return step;
    }

    /** Returns a run, which a line that names it creates. */
    RunHistory run(LogLine line) {
        return runs.computeIfAbsent(line.number("run"), number -> new RunHistory(line.text("runner"), line.timeMs()));
    }

    /** Takes note that nothing on a runner works any more. */
    void runnerLost(String runner, long timeMs) {
        for (RunHistory run : runs.values()) {
            if (run.runner().equals(runner)) {
                run.lost(timeMs);
            }
        }
    }

    long firstOrderedMs() {
        return runs.firstEntry().getValue().orderedMs();
    }

    boolean done() {
        return doneMs() != Long.MAX_VALUE;
    }

    /** Returns when the task was done, {@link Long#MAX_VALUE} if it was not. */
    long doneMs() {
        long doneMs = Long.MAX_VALUE;
        for (RunHistory run : runs.values()) {
            if (run.done()) {
                doneMs = Math.min(doneMs, run.endedMs());
            }
        }
        return doneMs;
    }

    /**
     * Attributes all moments of a span to causes.
     *
     * @param span from the time at which the task's turn came
     */
    void attribute(Span span, long acceptedMs, WaitHistory waits, LossSums sums) {
        long cursorMs = span.fromMs();
        List<RunHistory> ordered = new ArrayList<>(runs.values());
        for (int i = 0; i < ordered.size(); i++) {
            RunHistory run = ordered.get(i);
            RunHistory next = i + 1 < ordered.size() ? ordered.get(i + 1) : null;
            long limitMs = next == null ? span.toMs() : Math.min(span.toMs(), next.orderedMs());
            long orderedMs = between(cursorMs, run.orderedMs(), limitMs);
            waits.attribute(new Span(cursorMs, orderedMs), acceptedMs, sums);
            long answeredMs = between(orderedMs, run.answeredMs(), limitMs);
            sums.add(LossCause.START_ANSWER, answeredMs - orderedMs);
            cursorMs = answeredMs;
            if (run.began()) {
                long endedMs = between(answeredMs, run.endedMs(), limitMs);
                boolean repeated = !run.done() && next != null && !next.resumed();
                run.attribute(new Span(answeredMs, endedMs), repeated, sums);
                cursorMs = endedMs;
            }
        }
        waits.attribute(new Span(cursorMs, span.toMs()), acceptedMs, sums);
    }

    private static long between(long lowMs, long valueMs, long highMs) {
        return Math.max(lowMs, Math.min(valueMs, highMs));
    }
}
