package org.tamarackline.fleet;

import java.util.function.Consumer;

import org.tamarackline.core.fleet.StartResult;

/**
 * A start that is sent again, once, if it has no response in time, because its connection may have gone silent. Both
 * attempts have the same run number, so that the runner executes at most one of them.
 *
 * <p>A refusal of one attempt tells nothing of the other one: without a response, that may have been executed before, or
 * may be executed later.
 */
final class RepeatedStart {

    /** Sends the attempts. */
    interface Attempts {

        /** Sends the first attempt. */
        void send(Consumer<RunnerCalls.StartResponse> callback);

        /** Runs the action once the second attempt may be sent; never if it must not be sent. */
        void whenRepeatable(Runnable action);

        /** Sends the second attempt. */
        void repeat(Consumer<RunnerCalls.StartResponse> callback);
    }

    /** Receives the outcome of the start. */
    interface Listener {

        /**
         * The outcome is known.
         *
         * @param sentNanos when the attempt was sent that the response belongs to
         */
        void onOutcome(RunnerCalls.StartResponse response, long sentNanos);

        /** All attempts have been answered, so that none takes effect later. */
        void onAllAnswered();
    }

    private final EventLoop loop;
    private final Attempts attempts;
    private final Listener listener;
    private int unanswered;
    private boolean responseMissing;
    private boolean over;

    private RepeatedStart(EventLoop loop, Attempts attempts, Listener listener) {
        this.loop = loop;
        this.attempts = attempts;
        this.listener = listener;
    }

    /** Sends a start. */
    static void send(EventLoop loop, Attempts attempts, Listener listener) {
        RepeatedStart start = new RepeatedStart(loop, attempts, listener);
        start.sendFirst();
        loop.schedule(HedgedRead.ATTEMPT_TIMEOUT, start::repeatIfUnanswered);
    }

    private void sendFirst() {
        unanswered++;
        long sentNanos = loop.nowNanos();
        attempts.send(response -> {
            // The second attempt has waited long enough when the time of the first one is over.
            boolean unknown = response.result() == StartResult.UNKNOWN;
            onResponse(response, sentNanos, unknown);
        });
    }

    private void repeatIfUnanswered() {
        if (!over) {
            attempts.whenRepeatable(() -> {
                if (!over) {
                    sendSecond();
                }
            });
        }
    }

    private void sendSecond() {
        unanswered++;
        long sentNanos = loop.nowNanos();
        attempts.repeat(response -> onResponse(response, sentNanos, false));
    }

    private void onResponse(RunnerCalls.StartResponse response, long sentNanos, boolean last) {
        unanswered--;
        responseMissing |= response.result() == StartResult.UNKNOWN;
        if (unanswered == 0 && !responseMissing) {
            listener.onAllAnswered();
        }
        if (!over && (last || unanswered == 0 || endsTheWait(response))) {
            over = true;
            listener.onOutcome(outcomeOf(response), sentNanos);
        }
    }

    private static boolean endsTheWait(RunnerCalls.StartResponse response) {
        return response.result() == StartResult.STARTED
                || response.result() == StartResult.RUNNER_REPLACED
                || response.outcome() == RunnerCalls.RunnerCommandOutcome.FENCED;
    }

    private RunnerCalls.StartResponse outcomeOf(RunnerCalls.StartResponse response) {
        boolean otherMayTakeEffect = unanswered > 0 || responseMissing;
        if (response.result() == StartResult.STARTED || !otherMayTakeEffect) {
            return response;
        }
        return new RunnerCalls.StartResponse(StartResult.UNKNOWN, response.outcome(), response.reason());
    }
}
