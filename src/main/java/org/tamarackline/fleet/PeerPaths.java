package org.tamarackline.fleet;

/** Paths of the requests between nodes; all but the last two are followed by a name or an epoch. */
final class PeerPaths {

    static final String PING = "/ping/";
    static final String STEP_DOWN = "/step-down/";
    static final String JOBS = "/jobs/";
    static final String QUEUES = "/queues/";
    static final String STATE = "/state";
    static final String METRICS = "/metrics";

    /** Response of a node that has stepped down. */
    static final String STEPPED_DOWN = "stepped down";

    private PeerPaths() {}
}
