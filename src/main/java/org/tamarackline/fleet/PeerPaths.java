package org.tamarackline.fleet;

/** Paths that nodes ask each other, each followed by a name. */
final class PeerPaths {

    static final String PING = "/ping/";
    static final String JOBS = "/jobs/";
    static final String QUEUES = "/queues/";
    static final String STATE = "/state";
    static final String METRICS = "/metrics";

    private PeerPaths() {}
}
