package org.tamarackline.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;

/** Collects the measurements of one or more load runs. Thread-safe. */
public final class LoadRecorder {

    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ConcurrentHistogram latency = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final ConcurrentHistogram sendDelay = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Map<RequestOutcome.Kind, LongAdder> outcomes = new ConcurrentHashMap<>();
    private final Map<Integer, LongAdder> statuses = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
    private final LongAdder requests = new LongAdder();

    void recordSend(long delayNanos) {
        sendDelay.recordValue(micros(delayNanos));
    }

    void recordOutcome(RequestOutcome outcome, long latencyNanos) {
        requests.increment();
        outcomes.computeIfAbsent(outcome.kind(), kind -> new LongAdder()).increment();
        if (outcome.status() != 0) {
            statuses.computeIfAbsent(outcome.status(), status -> new LongAdder())
                    .increment();
        }
        outcome.code()
                .ifPresent(code ->
                        refusals.computeIfAbsent(code, key -> new LongAdder()).increment());
        if (outcome.kind() == RequestOutcome.Kind.ANSWERED) {
            latency.recordValue(micros(latencyNanos));
        }
    }

    /** Returns the measurements so far. */
    public LoadResult result() {
        Map<RequestOutcome.Kind, Long> outcomeCounts = new EnumMap<>(RequestOutcome.Kind.class);
        outcomes.forEach((kind, count) -> outcomeCounts.put(kind, count.sum()));
        Map<Integer, Long> statusCounts = new TreeMap<>();
        statuses.forEach((status, count) -> statusCounts.put(status, count.sum()));
        Map<String, Long> refusalCounts = new TreeMap<>();
        refusals.forEach((code, count) -> refusalCounts.put(code, count.sum()));
        return new LoadResult(
                requests.sum(),
                outcomeCounts,
                statusCounts,
                refusalCounts,
                LatencySummary.ofMicros(latency),
                LatencySummary.ofMicros(sendDelay));
    }

    private static long micros(long nanos) {
        return Math.clamp(TimeUnit.NANOSECONDS.toMicros(nanos), 0, MAX_MICROS);
    }
}
