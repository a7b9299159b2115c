package org.tamarackline.fleet;

/**
 * Identifies a change that a leader stores, independently of other changes.
 *
 * @param kind what changes
 * @param id identifier or key of it
 */
record ChangeKey(Kind kind, String id) {

    /** What a change is about. */
    enum Kind {
        /** The progress or the state of a job. */
        JOB,
        /** A submission that another node passed on. */
        SUBMISSION,
        /** The entry of a runner on the roster. */
        RUNNER,
        /** A stored end of a run. */
        END,
        /** A record of progress that is no longer needed. */
        OBSOLETE_PROGRESS,
        /** The interference estimates. */
        ESTIMATES
    }

    static ChangeKey job(String id) {
        return new ChangeKey(Kind.JOB, id);
    }

    static ChangeKey runner(String id) {
        return new ChangeKey(Kind.RUNNER, id);
    }

    @Override
    public String toString() {
        return kind + " " + id;
    }
}
