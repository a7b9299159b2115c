package org.tamarackline.fleet.losses;

/** What a moment of a job's time was spent on. Where several causes apply, the first one in this order counts. */
public enum TimeCategory {
    /** The submission was refused or its answer was lost, and it was not stored yet. */
    SUBMISSION("unstored"),
    /** A start was sent and its answer awaited. */
    START_RESPONSE("answer"),
    /** No node led, or the leader had not read the jobs yet. */
    NO_LEADER("leader"),
    /** The leader's node got no answers from the store. */
    STORE_UNAVAILABLE("store"),
    /** The leader held inherited tasks back for runners that had not answered. */
    UNREPORTED_RUNNERS("unheard"),
    /** Nothing but room was missing. */
    CAPACITY("room"),
    /** A run worked that did not end its task and left no checkpoint for the next one. */
    REPEATED("repeated"),
    /** A run was told to wait for serving tasks. */
    PAUSED("paused"),
    /** A run was told to work slowly beside serving tasks. */
    SLOWED("slowed"),
    /** A run worked at full speed. */
    WORK("work");

    private final String label;

    TimeCategory(String label) {
        this.label = label;
    }

    /** Returns the heading of the cause in tables. */
    public String label() {
        return label;
    }
}
