package org.tamarackline.core.fleet;

import java.util.List;

/**
 * A long-running task without a confirmed run, and what it waits for.
 *
 * @param task the task
 * @param waitedNanos time since it became ready, counted from the takeover at the earliest
 * @param cause what it waits for
 * @param runners the runners that the cause is about, empty if it is about none
 */
public record LongRunningWait(TaskKey task, long waitedNanos, Cause cause, List<String> runners) {

    /** What a long-running task waits for. */
    public enum Cause {
        /** Runners on which an earlier leader may have left a run, and which have not reported. */
        UNREPORTED_RUNNERS("runners that it may still run on"),
        /** Another member of its gang. */
        GANG("another member of its gang"),
        /** A runner with room. */
        NO_ROOM("no room on any runner"),
        /** The next start, although a runner has room. */
        NOT_PLACED("not placed, although a runner has room"),
        /** The transaction that stores its placement. */
        PLACEMENT_NOT_STORED("placement not stored"),
        /** A later attempt to store its placement, which the store rejected. */
        PLACEMENT_REJECTED("placement rejected by the store"),
        /** The start command, which is due. */
        START_NOT_SENT("placement stored, start not sent"),
        /** The response to the start command. */
        START_UNANSWERED("start unanswered"),
        /** The end of a run whose start was given up. */
        STOP_UNCONFIRMED("stop of a start without an answer not confirmed");

        private final String text;

        Cause(String text) {
            this.text = text;
        }

        @Override
        public String toString() {
            return text;
        }
    }

    /** Copies the list, so that later changes to it do not affect the record. */
    public LongRunningWait {
        runners = List.copyOf(runners);
    }
}
