package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;

import org.tamarackline.core.fleet.FleetConfiguration;

/**
 * Follows the configuration in the store and provides the newest version that it has seen; never goes back to an older
 * one.
 */
final class ConfigurationFollower {

    /** Longest delay between two reads while the store does not answer. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final RecordStore store;
    private final ConfigurationSource source;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final RetryBackoff backoff;
    private volatile FleetConfiguration current = FleetConfiguration.NONE;
    /** When the read was sent whose answer was the last one. */
    private volatile long answeredReadSentNanos;

    private boolean failing;

    /**
     * Creates a follower; {@link #start} starts it.
     *
     * @param random spreads the retries of the nodes
     */
    ConfigurationFollower(
            EventLoop loop,
            RecordStore store,
            ConfigurationSource source,
            DecisionLog log,
            FleetMetrics metrics,
            Random random) {
        this.loop = loop;
        this.store = store;
        this.source = source;
        this.log = log;
        this.metrics = metrics;
        this.answeredReadSentNanos = loop.nowNanos();
        this.backoff = new RetryBackoff(FleetConstants.STORE_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    void start() {
        readAll();
    }

    /** Returns the newest configuration; callable from any thread. */
    FleetConfiguration current() {
        return current;
    }

    /**
     * Returns the time for which {@link #current} may have been outdated, in milliseconds: that since the last read with
     * an answer was sent. Callable from any thread.
     */
    long ageMs() {
        return (loop.nowNanos() - answeredReadSentNanos) / 1_000_000;
    }

    private void readAll() {
        long sentNanos = loop.nowNanos();
        store.read(RecordStore.Table.CONFIGURATION, "", null, result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.CONFIGURATION, FleetMetrics.ReadOutcome.of(result));
            if (result instanceof RecordStore.ReadResult.Page page) {
                apply(page, sentNanos);
                follow(page.version());
            } else {
                reportFailure(result.toString());
                loop.schedule(backoff.next(), this::readAll);
            }
        });
    }

    private void follow(long version) {
        long sentNanos = loop.nowNanos();
        store.follow(RecordStore.Table.CONFIGURATION, version, FleetConstants.CONFIGURATION_FOLLOW_WAIT, result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.CONFIGURATION, FleetMetrics.ReadOutcome.of(result));
            switch (result) {
                case RecordStore.ReadResult.Page page -> {
                    apply(page, sentNanos);
                    follow(page.version());
                }
                case RecordStore.ReadResult.HistoryLost lost -> readAll();
                case RecordStore.ReadResult.Failed failed -> {
                    reportFailure(failed.cause());
                    loop.schedule(backoff.next(), this::readAll);
                }
            }
        });
    }

    private void apply(RecordStore.ReadResult.Page page, long sentNanos) {
        backoff.reset();
        if (failing) {
            failing = false;
            log.storeState("store-regained", "configuration read");
        }
        long ageMs = ageMs();
        answeredReadSentNanos = sentNanos;
        for (RecordStore.Entry entry : page.entries()) {
            if (entry.removed()) {
                continue;
            }
            decode(entry).ifPresent(next -> install(next, ageMs));
        }
    }

    /** Skips a record on which the decoder fails, because the configurations after it must still come into force. */
    private Optional<FleetConfiguration> decode(RecordStore.Entry entry) {
        try {
            return source.decode(entry);
        } catch (RuntimeException failure) {
            log.skippedRecord(entry.key(), "decoding it failed: " + failure);
            return Optional.empty();
        }
    }

    private void install(FleetConfiguration next, long previousAgeMs) {
        if (next.version() > current.version()) {
            current = next;
            log.configuration(next.version(), next.size(), previousAgeMs);
        }
    }

    private void reportFailure(String cause) {
        if (!failing) {
            failing = true;
            log.storeState("store-lost", cause);
        }
    }
}
