package org.tamarackline.core.membership;

import java.time.Duration;

/**
 * The confirmations and the outage evidence of this node, from which its standing follows. Not thread-safe.
 *
 * <p>Each time is the one at which the request was sent, because the answer may be arbitrarily late.
 */
public final class StandingRecord {

    private final long holdNanos;
    private final long graceNanos;
    private final boolean singleNode;
    private boolean joined;
    private boolean polled;
    private long heartbeatNanos;
    private long pollNanos;
    private boolean evident;
    private long evidenceEndNanos;

    /**
     * Creates the record of a node that has not joined.
     *
     * @param holdTime time for which a confirmation or evidence is good
     * @param outageGrace longest time without confirmation
     * @param singleNode whether the installation has no other node, so that no evidence is needed
     */
    public StandingRecord(Duration holdTime, Duration outageGrace, boolean singleNode) {
        holdNanos = holdTime.toNanos();
        graceNanos = outageGrace.toNanos();
        this.singleNode = singleNode;
    }

    /** Notes a heartbeat that took effect; the first one makes the node a member. */
    public void heartbeat(long sentNanos) {
        if (!joined) {
            joined = true;
            evident = false;
            heartbeatNanos = sentNanos;
        }
        heartbeatNanos = Math.max(heartbeatNanos, sentNanos);
    }

    /** Notes a poll after which this node knew all node rows and the current configuration. */
    public void poll(long sentNanos) {
        pollNanos = polled ? Math.max(pollNanos, sentNanos) : sentNanos;
        polled = true;
    }

    /**
     * Notes that a live member of the region answered that it has no access to the platform either.
     *
     * <p>Evidence asked for after the chain broke is void: the shards may have been taken since.
     */
    public void evidence(long sentNanos) {
        if (joined && !continuesChain(sentNanos)) {
            return;
        }
        long endNanos = sentNanos + holdNanos;
        evidenceEndNanos = evident ? Math.max(evidenceEndNanos, endNanos) : endNanos;
        evident = true;
    }

    private boolean continuesChain(long sentNanos) {
        return sentNanos - heartbeatNanos < holdNanos || (evident && sentNanos < evidenceEndNanos);
    }

    /** Notes that this node lost its membership. */
    public void left() {
        joined = false;
        evident = false;
    }

    /** Returns whether this node is a member. */
    public boolean isJoined() {
        return joined;
    }

    /** Returns whether the platform confirmed this node less than {@code age} ago. */
    public boolean confirmedWithin(Duration age, long nowNanos) {
        return joined && nowNanos - heartbeatNanos < age.toNanos();
    }

    /** Returns the standing at this moment. */
    public Standing at(long nowNanos) {
        if (joined && isFresh(nowNanos)) {
            return Standing.CONFIRMED;
        }
        if (joined && nowNanos - heartbeatNanos >= graceNanos) {
            return Standing.ISOLATED;
        }
        boolean covered = evident && nowNanos < evidenceEndNanos;
        return covered || (joined && singleNode) ? Standing.OUTAGE : Standing.ISOLATED;
    }

    private boolean isFresh(long nowNanos) {
        return polled && nowNanos - heartbeatNanos < holdNanos && nowNanos - pollNanos < holdNanos;
    }
}
