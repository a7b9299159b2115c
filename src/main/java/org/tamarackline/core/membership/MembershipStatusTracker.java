package org.tamarackline.core.membership;

import java.time.Duration;

/**
 * The confirmations and the outage evidence of this node, from which its standing follows. Not thread-safe.
 *
 * <p>Each time is the one at which the request was sent, because the answer may be arbitrarily late.
 */
public final class MembershipStatusTracker {

    private final long membershipLeaseNanos;
    private final long outageGraceNanos;
    private final boolean singleNode;
    private boolean joined;
    private boolean polled;
    private long lastHeartbeatNanos;
    private long lastPollNanos;
    private boolean hasEvidence;
    private long evidenceEndNanos;

    /**
     * Creates the record of a node that has not joined.
     *
     * @param membershipLease time for which a confirmation or evidence is good
     * @param outageGrace longest time without confirmation
     * @param singleNode whether the installation has no other node, so that no evidence is needed
     */
    public MembershipStatusTracker(Duration membershipLease, Duration outageGrace, boolean singleNode) {
        membershipLeaseNanos = membershipLease.toNanos();
        outageGraceNanos = outageGrace.toNanos();
        this.singleNode = singleNode;
    }

    /** Notes a heartbeat that took effect; the first one makes the node a member. */
    public void recordHeartbeat(long sentNanos) {
        if (!joined) {
            joined = true;
            hasEvidence = false;
            lastHeartbeatNanos = sentNanos;
        }
        lastHeartbeatNanos = Math.max(lastHeartbeatNanos, sentNanos);
    }

    /** Notes a poll after which this node knew all node rows and the current configuration. */
    public void recordPoll(long sentNanos) {
        lastPollNanos = polled ? Math.max(lastPollNanos, sentNanos) : sentNanos;
        polled = true;
    }

    /**
     * Notes that a live member of the region answered that it has no access to the platform either.
     *
     * <p>Evidence asked for after the chain broke is void: the shards may have been taken since.
     */
    public void recordEvidence(long sentNanos) {
        if (joined && !isChainUnbroken(sentNanos)) {
            return;
        }
        long endNanos = sentNanos + membershipLeaseNanos;
        evidenceEndNanos = hasEvidence ? Math.max(evidenceEndNanos, endNanos) : endNanos;
        hasEvidence = true;
    }

    private boolean isChainUnbroken(long sentNanos) {
        return sentNanos - lastHeartbeatNanos < membershipLeaseNanos || (hasEvidence && sentNanos < evidenceEndNanos);
    }

    /** Notes that this node lost its membership. */
    public void recordMembershipLoss() {
        joined = false;
        hasEvidence = false;
    }

    /** Returns whether this node is a member. */
    public boolean isJoined() {
        return joined;
    }

    /** Returns whether the platform confirmed this node less than {@code age} ago. */
    public boolean confirmedWithin(Duration age, long nowNanos) {
        return joined && nowNanos - lastHeartbeatNanos < age.toNanos();
    }

    /** Returns the standing at this moment. */
    public MembershipStatus statusAt(long nowNanos) {
        if (joined && isConfirmed(nowNanos)) {
            return MembershipStatus.CONFIRMED;
        }
        if (joined && nowNanos - lastHeartbeatNanos >= outageGraceNanos) {
            return MembershipStatus.ISOLATED;
        }
        boolean evidenceValid = hasEvidence && nowNanos < evidenceEndNanos;
        return evidenceValid || (joined && singleNode) ? MembershipStatus.OUTAGE : MembershipStatus.ISOLATED;
    }

    private boolean isConfirmed(long nowNanos) {
        return polled
                && nowNanos - lastHeartbeatNanos < membershipLeaseNanos
                && nowNanos - lastPollNanos < membershipLeaseNanos;
    }
}
