package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Events of the runs of one task, read from the logs. */
final class TaskHistory {

    private final int step;
    private final NavigableMap<Long, RunHistory> runs = new TreeMap<>();

    TaskHistory(int step) {
        this.step = step;
    }

    int step() {
        return step;
    }

    /** Returns the run that a line names; creates it if this is its first line. */
    RunHistory run(LogLine line) {
        return runs.computeIfAbsent(line.number("run"), number -> new RunHistory(line.text("runner"), line.timeMs()));
    }

    /** Records that nothing runs on a runner any more. */
    void onRunnerLost(String runner, long timeMs) {
        for (RunHistory run : runs.values()) {
            if (run.runner().equals(runner)) {
                run.onRunnerLost(timeMs);
            }
        }
    }

    long firstStartSentMs() {
        return runs.firstEntry().getValue().startSentMs();
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
     * Attributes all moments of a span to categories.
     *
     * @param span span from the time when the task's dependencies were done
     */
    void attribute(Span span, long acceptedMs, WaitHistory waits, TimeByCategory times) {
        long cursorMs = span.fromMs();
        List<RunHistory> inOrder = new ArrayList<>(runs.values());
        for (int i = 0; i < inOrder.size(); i++) {
            RunHistory run = inOrder.get(i);
            RunHistory next = i + 1 < inOrder.size() ? inOrder.get(i + 1) : null;
            long limitMs = next == null ? span.toMs() : Math.min(span.toMs(), next.startSentMs());
            long startSentMs = clamp(cursorMs, run.startSentMs(), limitMs);
            waits.attribute(new Span(cursorMs, startSentMs), acceptedMs, times);
            long startRespondedMs = clamp(startSentMs, run.startRespondedMs(), limitMs);
            times.add(TimeCategory.START_RESPONSE, startRespondedMs - startSentMs);
            cursorMs = startRespondedMs;
            if (run.started()) {
                long endedMs = clamp(startRespondedMs, run.endedMs(), limitMs);
                boolean repeated = !run.done() && next != null && !next.resumed();
                run.attribute(new Span(startRespondedMs, endedMs), repeated, times);
                cursorMs = endedMs;
            }
        }
        waits.attribute(new Span(cursorMs, span.toMs()), acceptedMs, times);
    }

    private static long clamp(long minMs, long valueMs, long maxMs) {
        return Math.max(minMs, Math.min(valueMs, maxMs));
    }
}
