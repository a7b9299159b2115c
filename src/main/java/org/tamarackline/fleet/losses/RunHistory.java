package org.tamarackline.fleet.losses;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** One run of a task, as far as the logs tell. */
final class RunHistory {

    private static final int FULL_SPEED_PERCENT = 100;

    private final String runner;
    private final NavigableMap<Long, Integer> speedPercents = new TreeMap<>();
    /** When the start was sent and answered; the same time for a run that was only adopted. */
    private long startSentMs;

    private long answeredMs;
    private boolean began;
    private boolean resumed;
    private boolean done;
    private long endedMs = Long.MAX_VALUE;

    RunHistory(String runner, long firstMs) {
        this.runner = runner;
        this.startSentMs = firstMs;
        this.answeredMs = firstMs;
    }

    String runner() {
        return runner;
    }

    long startSentMs() {
        return startSentMs;
    }

    long answeredMs() {
        return answeredMs;
    }

    boolean began() {
        return began;
    }

    boolean resumed() {
        return resumed;
    }

    boolean done() {
        return done;
    }

    long endedMs() {
        return endedMs;
    }

    void answered(LogLine line) {
        startSentMs = Math.min(startSentMs, line.timeMs() - line.number("waitedMs"));
        answeredMs = line.timeMs();
        resumed = line.flag("resumed");
        began |= line.text("outcome").equals("STARTED");
    }

    void adopted() {
        began = true;
    }

    void throttled(LogLine line) {
        speedPercents.put(line.timeMs(), (int) line.number("percent"));
    }

    void ended(long timeMs, boolean successfully) {
        began = true;
        endedMs = Math.min(endedMs, timeMs);
        done |= successfully;
    }

    /** Takes note that the run has no effect any more; does nothing if its end is known. */
    void lost(long timeMs) {
        endedMs = Math.min(endedMs, timeMs);
    }

    /** Adds a span in which the run worked to the causes. */
    void attribute(Span work, boolean repeated, LossSums sums) {
        if (repeated) {
            sums.add(LossCause.REPEATED, work.toMs() - work.fromMs());
            return;
        }
        long fromMs = work.fromMs();
        while (fromMs < work.toMs()) {
            Long changeMs = speedPercents.higherKey(fromMs);
            long toMs = changeMs == null ? work.toMs() : Math.min(changeMs, work.toMs());
            sums.add(causeAt(fromMs), toMs - fromMs);
            fromMs = toMs;
        }
    }

    private LossCause causeAt(long timeMs) {
        Map.Entry<Long, Integer> speedPercent = speedPercents.floorEntry(timeMs);
        if (speedPercent == null || speedPercent.getValue() >= FULL_SPEED_PERCENT) {
            return LossCause.WORK;
        }
        return speedPercent.getValue() == 0 ? LossCause.PAUSED : LossCause.SLOWED;
    }
}
