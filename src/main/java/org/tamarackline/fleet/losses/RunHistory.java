package org.tamarackline.fleet.losses;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Events of one run of a task, read from the logs. */
final class RunHistory {

    private static final int FULL_SPEED_PERCENT = 100;

    private final String runner;
    private final NavigableMap<Long, Integer> speedPercents = new TreeMap<>();
    /** When the start was sent; equal to the time of the response for a run that was only adopted. */
    private long startSentMs;

    private long startRespondedMs;
    private boolean started;
    private boolean resumed;
    private boolean done;
    private long endedMs = Long.MAX_VALUE;

    RunHistory(String runner, long firstMs) {
        this.runner = runner;
        this.startSentMs = firstMs;
        this.startRespondedMs = firstMs;
    }

    String runner() {
        return runner;
    }

    long startSentMs() {
        return startSentMs;
    }

    long startRespondedMs() {
        return startRespondedMs;
    }

    boolean started() {
        return started;
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

    void onStartResponse(LogLine line) {
        startSentMs = Math.min(startSentMs, line.timeMs() - line.number("waitedMs"));
        startRespondedMs = line.timeMs();
        resumed = line.flag("resumed");
        started |= line.text("outcome").equals("STARTED");
    }

    void onAdopted() {
        started = true;
    }

    void onThrottled(LogLine line) {
        speedPercents.put(line.timeMs(), (int) line.number("percent"));
    }

    void onEnded(long timeMs, boolean successfully) {
        started = true;
        endedMs = Math.min(endedMs, timeMs);
        done |= successfully;
    }

    /** Records that the run has no effect any more; does nothing if it ended earlier. */
    void onRunnerLost(long timeMs) {
        endedMs = Math.min(endedMs, timeMs);
    }

    /** Attributes a span in which the run worked to categories. */
    void attribute(Span work, boolean repeated, TimeByCategory times) {
        if (repeated) {
            times.add(TimeCategory.REPEATED, work.toMs() - work.fromMs());
            return;
        }
        long fromMs = work.fromMs();
        while (fromMs < work.toMs()) {
            Long changeMs = speedPercents.higherKey(fromMs);
            long toMs = changeMs == null ? work.toMs() : Math.min(changeMs, work.toMs());
            times.add(categoryAt(fromMs), toMs - fromMs);
            fromMs = toMs;
        }
    }

    private TimeCategory categoryAt(long timeMs) {
        Map.Entry<Long, Integer> speedPercent = speedPercents.floorEntry(timeMs);
        if (speedPercent == null || speedPercent.getValue() >= FULL_SPEED_PERCENT) {
            return TimeCategory.WORK;
        }
        return speedPercent.getValue() == 0 ? TimeCategory.PAUSED : TimeCategory.SLOWED;
    }
}
