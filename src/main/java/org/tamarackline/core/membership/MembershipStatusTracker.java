package org.tamarackline.core.membership;

import java.time.Duration;

/**
 * Tracks the confirmed heartbeats, polls and outage evidence of this node, and derives its membership status from them. Not
 * thread-safe.
 *
 * <p>Outage evidence is the response of a peer that it cannot reach the platform either. All times are those at which the
 * request was sent, because its response may be arbitrarily late.
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
     * Creates the tracker of a node that is not a member yet.
     *
     * @param membershipLease time for which a confirmed heartbeat, a poll or evidence is valid
     * @param outageGrace maximum time for which the node continues without a confirmed heartbeat
     * @param singleNode whether the installation has no other node, so that no evidence is needed
     */
    public MembershipStatusTracker(Duration membershipLease, Duration outageGrace, boolean singleNode) {
        membershipLeaseNanos = membershipLease.toNanos();
        outageGraceNanos = outageGrace.toNanos();
        this.singleNode = singleNode;
    }

    /** Records a heartbeat that took effect. The first one makes the node a member. */
    public void recordHeartbeat(long sentNanos) {
        if (!joined) {
            joined = true;
            hasEvidence = false;
            lastHeartbeatNanos = sentNanos;
        }
        lastHeartbeatNanos = Math.max(lastHeartbeatNanos, sentNanos);
    }

    /** Records a poll that gave this node all node rows and the current configuration. */
    public void recordPoll(long sentNanos) {
        lastPollNanos = polled ? Math.max(lastPollNanos, sentNanos) : sentNanos;
        polled = true;
    }

    /**
     * Records the response of a live member of the region that it has no access to the platform either.
     *
     * <p>Evidence is ignored if it was requested when neither the last heartbeat nor earlier evidence was valid any more,
     * because another node may have taken the shards since.
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

    /** Records that this node lost its membership. */
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

    /** Returns the membership status at {@code nowNanos}. */
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

    /** Returns whether this node has outage evidence that is valid for {@code time} after {@code nowNanos}. */
    public boolean hasEvidenceFor(Duration time, long nowNanos) {
        return hasEvidence && nowNanos + time.toNanos() < evidenceEndNanos;
    }

    /** Returns what the status at {@code nowNanos} follows from, for the log. */
    public String describeAt(long nowNanos) {
        return "last confirmed heartbeat %s, last poll %s, outage evidence %s"
                .formatted(
                        joined ? ageMs(lastHeartbeatNanos, nowNanos) : "none",
                        polled ? ageMs(lastPollNanos, nowNanos) : "none",
                        hasEvidence ? ageMs(evidenceEndNanos - membershipLeaseNanos, nowNanos) : "none");
    }

    private static String ageMs(long sentNanos, long nowNanos) {
        return "sent %d ms ago".formatted((nowNanos - sentNanos) / 1_000_000);
    }

    private boolean isConfirmed(long nowNanos) {
        return polled
                && nowNanos - lastHeartbeatNanos < membershipLeaseNanos
                && nowNanos - lastPollNanos < membershipLeaseNanos;
    }
}
