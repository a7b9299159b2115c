package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.FleetConfiguration;

/**
 * Follows the configuration in the store and provides the newest version that it has seen; never goes back to an older
 * one.
 *
 * <p>A version must be in force within two seconds of its confirmation by the store. The store answers a read of changes
 * at the latest after {@link FleetConstants#CONFIGURATION_FOLLOW_WAIT}; a read without an answer is repeated soon after.
 */
final class ConfigurationFollower {

    /** Time after which an answer of the store about changes is overdue, added to the time that the store may wait. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    private final EventLoop loop;
    private final RecordStore store;
    private final ConfigurationSource source;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final HedgedRead<RecordStore.ReadResult> reads;
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
        this.reads = new HedgedRead<>(
                loop,
                RetryBackoff.forReads(random),
                result -> !(result instanceof RecordStore.ReadResult.Failed),
                new ReadListener(),
                () -> false);
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
        reads.start(this::sendRead, HedgedRead.ATTEMPT_TIMEOUT, this::sendReadOnNewConnection, this::onAnswer);
    }

    private void follow(long version) {
        Duration wait = FleetConstants.CONFIGURATION_FOLLOW_WAIT;
        reads.start(
                callback -> store.follow(RecordStore.Table.CONFIGURATION, version, wait, callback),
                wait.plus(ANSWER_MARGIN),
                this::sendReadOnNewConnection,
                this::onAnswer);
    }

    private void sendRead(Consumer<RecordStore.ReadResult> callback) {
        store.read(RecordStore.Table.CONFIGURATION, "", null, callback);
    }

    private void sendReadOnNewConnection(Consumer<RecordStore.ReadResult> callback) {
        store.readOnNewConnection(RecordStore.Table.CONFIGURATION, "", null, callback);
    }

    private void onAnswer(HedgedRead.Success<RecordStore.ReadResult> success) {
        metrics.readCompleted(FleetMetrics.ReadPurpose.CONFIGURATION, FleetMetrics.ReadOutcome.of(success.result()));
        if (success.result() instanceof RecordStore.ReadResult.Page page) {
            apply(page, success.sentNanos());
            follow(page.version());
        } else {
            readAll();
        }
    }

    private void apply(RecordStore.ReadResult.Page page, long sentNanos) {
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

    private final class ReadListener implements HedgedRead.Listener<RecordStore.ReadResult> {

        @Override
        public void onFailure(RecordStore.ReadResult result) {
            metrics.readCompleted(FleetMetrics.ReadPurpose.CONFIGURATION, FleetMetrics.ReadOutcome.FAILED);
            if (!failing) {
                failing = true;
                log.storeState("store-lost", causeOf(result));
            }
        }

        private static String causeOf(RecordStore.ReadResult result) {
            return result instanceof RecordStore.ReadResult.Failed failed ? failed.cause() : result.toString();
        }

        @Override
        public void onRepetition(Duration waited) {
            log.readRepeated("configuration", waited.toMillis());
        }
    }
}
