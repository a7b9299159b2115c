package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Finds out whether the store takes transactions of this node, before it replaces a leader whose transactions are not
 * answered.
 *
 * <p>A probe stores a record that nobody reads, several times in a row: a store that loses a part of the transactions of all
 * nodes answers some of them, and a claim that takes effect late ends a leader without giving the fleet another one.
 */
final class WriteProbe {

    /** Key of the record, which all nodes overwrite, beside the lease limit that a leader has to raise. */
    private static final String KEY = "probe";

    private static final byte[] VALUE = {0};

    /** Number of transactions in a row that must be answered. */
    private static final int TRANSACTIONS = 3;

    /** Longest time in which all of them must be answered. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_200);

    /** Age from which on the result of a probe no longer counts; it covers the delay and the timeout of a ping of the leader. */
    private static final Duration MAX_ANSWER_AGE = Duration.ofMillis(1_200);

    /** Time after a failed probe until the next one, so that the probes of all followers add little to a store that refuses. */
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);

    private final NodeServices services;
    private final EventLoop loop;
    private boolean probing;
    /** Whether the last probe that ended was answered. */
    private boolean answered;
    /** Whether the last probe that ended was not answered. */
    private boolean failed;

    private long endedNanos;

    WriteProbe(NodeServices services) {
        this.services = services;
        this.loop = services.loop();
    }

    /** Returns whether the store answered the last probe, and that only lately. */
    boolean answeredLately() {
        return answered && loop.nowNanos() - endedNanos <= MAX_ANSWER_AGE.toNanos();
    }

    /**
     * Starts a probe, unless one is in progress or has failed just before.
     *
     * @param callback receives whether the store answered all transactions in time; not called if no probe is started
     */
    void start(Consumer<Boolean> callback) {
        if (!probing && !failedLately()) {
            probing = true;
            sendNext(TRANSACTIONS, loop.nowNanos(), allAnswered -> {
                probing = false;
                answered = allAnswered;
                failed = !allAnswered;
                endedNanos = loop.nowNanos();
                callback.accept(allAnswered);
            });
        }
    }

    private boolean failedLately() {
        return failed && loop.nowNanos() - endedNanos <= RETRY_INTERVAL.toNanos();
    }

    private void sendNext(int remaining, long startedNanos, Consumer<Boolean> callback) {
        long sentNanos = loop.nowNanos();
        RecordStore.Write write = new RecordStore.Write(RecordStore.Table.LEASES, KEY, VALUE);
        services.store().transact(new RecordStore.Transaction(List.of(), List.of(write)), result -> {
            services.metrics()
                    .transactionCompleted(
                            FleetMetrics.TransactionPurpose.WRITE_PROBE,
                            FleetMetrics.TransactionOutcome.of(result),
                            loop.nowNanos() - sentNanos);
            boolean inTime = result instanceof RecordStore.TransactionResult.Applied
                    && loop.nowNanos() - startedNanos <= TIMEOUT.toNanos();
            if (inTime && remaining > 1) {
                sendNext(remaining - 1, startedNanos, callback);
            } else {
                callback.accept(inTime);
            }
        });
    }
}
