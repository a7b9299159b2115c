package org.tamarackline.fleet.losses;

/** Term of one leader: from its takeover, through the time when it has loaded the jobs, to its end. */
final class LeaderTerm {

    private final String node;
    private final long epoch;
    private final long startedMs;
    private long readyMs = Long.MAX_VALUE;
    private long endedMs = Long.MAX_VALUE;
    private long lastHeldTasksMs = Long.MIN_VALUE;

    LeaderTerm(String node, long epoch, long startedMs) {
        this.node = node;
        this.epoch = epoch;
        this.startedMs = startedMs;
    }

    String node() {
        return node;
    }

    long epoch() {
        return epoch;
    }

    long startedMs() {
        return startedMs;
    }

    long readyMs() {
        return readyMs;
    }

    long endedMs() {
        return endedMs;
    }

    long lastHeldTasksMs() {
        return lastHeldTasksMs;
    }

    void onReady(long timeMs) {
        readyMs = timeMs;
    }

    void onEnded(long timeMs) {
        endedMs = Math.min(endedMs, timeMs);
    }

    void onHeldTasks(long timeMs) {
        lastHeldTasksMs = timeMs;
    }

    boolean leadsAt(long timeMs) {
        return timeMs >= readyMs && timeMs < endedMs;
    }

    /** Returns whether tasks of a job that was accepted before this term were held at a time. */
    boolean holdsTasksAt(long timeMs, long acceptedMs) {
        return acceptedMs < startedMs && timeMs < lastHeldTasksMs;
    }
}
