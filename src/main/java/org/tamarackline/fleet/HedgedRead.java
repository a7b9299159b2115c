package org.tamarackline.fleet;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Reads until an attempt succeeds. An attempt that fails is retried after a delay. One that has no response in time is
 * repeated without waiting for its timeout, because its connection may have gone silent while others work; the first
 * attempt that succeeds ends the read.
 *
 * @param <R> result of an attempt
 */
final class HedgedRead<R> {

    /**
     * Time in which an attempt gets its response, unless its connection or the store is disturbed. An attempt for which
     * the store may wait takes longer.
     */
    static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(400);

    /** Sends an attempt; its callback receives the result on the event loop. */
    interface Attempt<R> {
        void send(Consumer<R> callback);
    }

    /** Receives what happens to the attempts, on the event loop. */
    interface Listener<R> {

        /** An attempt failed. */
        void onFailure(R result);

        /** An attempt had no response in time and is repeated. */
        void onRepetition(Duration waited);
    }

    /**
     * Result of the attempt that succeeded.
     *
     * @param result result of the attempt
     * @param sentNanos when the attempt was sent, on the clock of the event loop
     */
    record Success<R>(R result, long sentNanos) {}

    private final EventLoop loop;
    private final RetryBackoff backoff;
    private final Predicate<R> succeeded;
    private final Listener<R> listener;
    private final BooleanSupplier stopped;
    private Attempt<R> repetition;
    private Consumer<Success<R>> callback;
    /** Number of the read in progress; attempts of earlier reads are ignored. */
    private long readNumber;
    /** Number of the latest attempt of the read in progress. */
    private long attemptNumber;

    /**
     * Creates a reader, which runs one read at a time.
     *
     * @param backoff delays of the attempts after one that failed
     * @param succeeded whether a result ends the read
     * @param stopped whether to send no further attempts
     */
    HedgedRead(
            EventLoop loop,
            RetryBackoff backoff,
            Predicate<R> succeeded,
            Listener<R> listener,
            BooleanSupplier stopped) {
        this.loop = loop;
        this.backoff = backoff;
        this.succeeded = succeeded;
        this.listener = listener;
        this.stopped = stopped;
    }

    /**
     * Starts a read; the previous one must have ended.
     *
     * @param first first attempt
     * @param firstTimeout time after which the first attempt is repeated if it has no response
     * @param nextAttempts all further attempts
     * @param onSuccess receives the result
     */
    void start(Attempt<R> first, Duration firstTimeout, Attempt<R> nextAttempts, Consumer<Success<R>> onSuccess) {
        readNumber++;
        repetition = nextAttempts;
        callback = onSuccess;
        send(first, firstTimeout);
    }

    private void send(Attempt<R> attempt, Duration timeout) {
        if (stopped.getAsBoolean()) {
            return;
        }
        long read = readNumber;
        long number = ++attemptNumber;
        long sentNanos = loop.nowNanos();
        loop.schedule(timeout, () -> {
            if (isLatest(read, number)) {
                listener.onRepetition(Duration.ofNanos(loop.nowNanos() - sentNanos));
                repeat();
            }
        });
        attempt.send(result -> onResult(read, number, new Success<>(result, sentNanos)));
    }

    private boolean isLatest(long read, long number) {
        return read == readNumber && number == attemptNumber;
    }

    private void repeat() {
        send(repetition, backoff.nextAtLeast(ATTEMPT_TIMEOUT));
    }

    private void onResult(long read, long number, Success<R> success) {
        if (read != readNumber) {
            return;
        }
        if (succeeded.test(success.result())) {
            backoff.reset();
            readNumber++;
            callback.accept(success);
            return;
        }
        listener.onFailure(success.result());
        if (isLatest(read, number)) {
            // Ends the wait for this attempt, so that only the retry sends the next one.
            attemptNumber++;
            long retried = attemptNumber;
            loop.schedule(backoff.next(), () -> {
                if (isLatest(read, retried)) {
                    repeat();
                }
            });
        }
    }
}
