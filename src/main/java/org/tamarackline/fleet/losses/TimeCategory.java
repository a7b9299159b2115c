package org.tamarackline.fleet.losses;

/** Category that a moment of a job's time counts for. Where several apply, the first one in this order counts. */
public enum TimeCategory {
    /** The submission was rejected or its response was lost, and the job was not stored yet. */
    SUBMISSION("unstored"),
    /** A start request was waiting for its response. */
    START_RESPONSE("answer"),
    /** No node led, or the leader had not loaded the jobs yet. */
    NO_LEADER("leader"),
    /** The leader got no responses from the store. */
    STORE_UNAVAILABLE("store"),
    /** The leader held inherited tasks because of runners that had not reported. */
    UNREPORTED_RUNNERS("unheard"),
    /** The task waited only for free capacity. */
    CAPACITY("room"),
    /** A run worked without completing its task and left no checkpoint for the next run. */
    REPEATED("repeated"),
    /** A run was paused in favour of latency-critical tasks. */
    PAUSED("paused"),
    /** A run was throttled in favour of latency-critical tasks. */
    SLOWED("slowed"),
    /** A run worked at full speed. */
    WORK("work");

    private final String label;

    TimeCategory(String label) {
        this.label = label;
    }

    /** Returns the column heading of the category in tables. */
    public String label() {
        return label;
    }
}
