package org.tamarackline.core.fleet;

/** Why a run is stopped, as far as the leader knows it. */
public enum StopCause {
    /** The leader knows the run, which must end. */
    KNOWN_RUN("the run must end"),
    /** A runner reports a run that the leader does not know, such as that of a job which has ended. */
    UNKNOWN_RUN("the run is not known"),
    /** A start without a response was given up with its runner, and must not take effect any more. */
    UNRESOLVED_START("a start without a response was given up");

    private final String description;

    StopCause(String description) {
        this.description = description;
    }

    @Override
    public String toString() {
        return description;
    }
}
