package org.tamarackline.fleet;

import java.time.Duration;

/** Tells when the latest attempt of a transaction has had no answer for too long. */
final class AttemptTimer {

    private final EventLoop loop;
    private long attempts;
    private boolean waiting;

    AttemptTimer(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Starts to wait for the answer to an attempt, and no longer for that to an earlier one.
     *
     * @param onOverdue runs if the wait has not ended within the timeout
     * @return number of the attempt, for {@link #end}
     */
    long start(Duration timeout, Runnable onOverdue) {
        long attempt = ++attempts;
        waiting = true;
        loop.schedule(timeout, () -> {
            if (end(attempt)) {
                onOverdue.run();
            }
        });
        return attempt;
    }

    /** Ends the wait for the answer to an attempt; returns whether it was in progress. */
    boolean end(long attempt) {
        boolean ended = waiting && attempt == attempts;
        if (ended) {
            waiting = false;
        }
        return ended;
    }
}
