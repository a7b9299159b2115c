package org.tamarackline.core.fleet;

/** Why a runner gets no new tasks at present. */
public enum StartBlock {
    /** Nothing: the runner gets new tasks. */
    NONE("none"),
    /** The runner is not in the directory. */
    NOT_IN_DIRECTORY("it is not in the directory"),
    /** The runner has announced that it will leave. */
    DRAINING("it is about to leave"),
    /** The runner has not reported its status to this leader, or its runs were given up. */
    NO_STATUS("it has not reported its status"),
    /** The directory entry is of another process than the one that last reported. */
    ENTRY_OF_OTHER_PROCESS("its directory entry is of another process"),
    /** The last requests to the runner got no response. */
    SILENT("it is silent"),
    /** The runner is cordoned, or may be according to the store. */
    CORDONED("it is cordoned"),
    /** The store has not confirmed the leader since the leader learned of the runner's process. */
    UNCONFIRMED("the store has not confirmed the leader since the runner's process was found"),
    /** The runner keeps ended runs that should have been acknowledged long ago. */
    ACKNOWLEDGEMENT_OVERDUE("its ended runs are to be acknowledged first"),
    /** The runner has runs whose size the leader does not know, such as those of a job that has ended. */
    RUNS_OF_UNKNOWN_SIZE("it has runs whose size is not known"),
    /** A start that was given up may still take effect on the runner. */
    UNRESOLVED_STARTS("starts that were given up may still take effect there");

    private final String text;

    StartBlock(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
