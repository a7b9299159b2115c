package org.tamarackline.fleet;

import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A read that is repeated once, on a new connection, if it has no response in time. Its connection may have gone silent,
 * and the timeout of a read, 1.5 s, is long compared with a change of leader.
 *
 * @param <R> result of an attempt
 */
final class RepeatedRead<R> {

    private final Predicate<R> succeeded;
    private final Consumer<R> callback;
    private int unanswered;
    private boolean over;

    private RepeatedRead(Predicate<R> succeeded, Consumer<R> callback) {
        this.succeeded = succeeded;
        this.callback = callback;
    }

    /**
     * Starts a read.
     *
     * @param succeeded whether a result ends the read although another attempt has no response yet
     * @param onRepetition runs when the read is repeated
     * @param callback receives the first success, or the result of the last attempt that failed
     */
    static <R> void start(
            EventLoop loop,
            HedgedRead.Attempt<R> first,
            HedgedRead.Attempt<R> repetition,
            Predicate<R> succeeded,
            Runnable onRepetition,
            Consumer<R> callback) {
        RepeatedRead<R> read = new RepeatedRead<>(succeeded, callback);
        read.send(first);
        loop.schedule(HedgedRead.ATTEMPT_TIMEOUT, () -> {
            if (!read.over) {
                onRepetition.run();
                read.send(repetition);
            }
        });
    }

    /** Starts a read of the records of a table from a key on, up to another key or, if that is null, to the last one. */
    static void ofTable(
            EventLoop loop,
            RecordStore store,
            RecordStore.Table table,
            String from,
            String to,
            Runnable onRepetition,
            Consumer<RecordStore.ReadResult> callback) {
        start(
                loop,
                onResult -> store.read(table, from, to, onResult),
                onResult -> store.readOnNewConnection(table, from, to, onResult),
                result -> !(result instanceof RecordStore.ReadResult.Failed),
                onRepetition,
                callback);
    }

    private void send(HedgedRead.Attempt<R> attempt) {
        unanswered++;
        attempt.send(this::onResult);
    }

    private void onResult(R result) {
        unanswered--;
        if (over || (unanswered > 0 && !succeeded.test(result))) {
            return;
        }
        over = true;
        callback.accept(result);
    }
}
