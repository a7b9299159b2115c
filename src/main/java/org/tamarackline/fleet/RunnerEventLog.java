package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Logs events about the waits for single runners. Of each event, at most {@link #MAX_LINES} runners in a period get a line
 * of their own; the others are summarised in one line for each reason, so that a takeover of a large fleet stays readable.
 */
final class RunnerEventLog {

    /** Maximum number of lines of an event in a period that name a runner. */
    static final int MAX_LINES = 20;

    private static final Duration PERIOD = Duration.ofSeconds(2);

    private record SummaryKey(String event, String reason) {}

    /**
     * Events that got no line of their own.
     *
     * @param minRemainingMs shortest remaining time, empty if none is known
     * @param maxRemainingMs longest remaining time, empty if none is known
     */
    record Summary(int runners, OptionalLong minRemainingMs, OptionalLong maxRemainingMs) {

        private static final Summary NONE = new Summary(0, OptionalLong.empty(), OptionalLong.empty());

        private Summary with(OptionalLong remainingMs) {
            if (remainingMs.isEmpty()) {
                return new Summary(runners + 1, minRemainingMs, maxRemainingMs);
            }
            long ms = remainingMs.getAsLong();
            return new Summary(
                    runners + 1,
                    OptionalLong.of(Math.min(ms, minRemainingMs.orElse(ms))),
                    OptionalLong.of(Math.max(ms, maxRemainingMs.orElse(ms))));
        }
    }

    private final EventLoop loop;
    private final DecisionLog log;
    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<SummaryKey, Summary> summaries = new LinkedHashMap<>();
    private long periodStartNanos;

    RunnerEventLog(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
        this.periodStartNanos = loop.nowNanos();
    }

    /**
     * Logs an event about a runner, or adds it to the summary of the period.
     *
     * @param remainingMs time until everything on the runner has ended, in milliseconds; empty if it is not known
     */
    void write(String event, String runner, OptionalLong remainingMs, String reason) {
        endPeriodIfDue();
        if (lines.merge(event, 1, Integer::sum) <= MAX_LINES) {
            log.runnerEvent(event, runner, remainingMs, reason);
        } else {
            summaries.merge(
                    new SummaryKey(event, reason), Summary.NONE.with(remainingMs), (old, one) -> old.with(remainingMs));
        }
    }

    /** Logs the summaries of a period that has ended. To be called at short intervals. */
    void endPeriodIfDue() {
        if (loop.nowNanos() - periodStartNanos < PERIOD.toNanos()) {
            return;
        }
        summaries.forEach((key, summary) -> log.runnerEvents(key.event(), summary, key.reason()));
        summaries.clear();
        lines.clear();
        periodStartNanos = loop.nowNanos();
    }
}
