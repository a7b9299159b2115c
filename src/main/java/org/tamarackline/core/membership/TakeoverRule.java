package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.List;

import org.tamarackline.core.model.NodeId;

/** Decides whether a member has certainly stopped acting on its shards, so that another node may take them over. */
public final class TakeoverRule {

    private final Duration takeoverTimeout;
    private final Duration outageGrace;

    /**
     * Creates the rule.
     *
     * @param takeoverTimeout silence after which the shards of a member may be taken over
     * @param outageGrace maximum time for which a member continues to act on its shards without a confirmed heartbeat
     */
    public TakeoverRule(Duration takeoverTimeout, Duration outageGrace) {
        this.takeoverTimeout = takeoverTimeout;
        this.outageGrace = outageGrace;
    }

    /** The decision about one member. */
    public sealed interface Decision {

        /** The member may be marked as gone, and its shards may be taken over. */
        record Allowed() implements Decision {}

        /** The member sends heartbeats, is gone already or has not been silent for long enough. */
        record NotDue() implements Decision {}

        /**
         * The member is silent, but not all other members have recorded that. The silent member and the members without a
         * record may be in the same part of a partitioned network, so that the silent member may still act on its shards.
         *
         * @param members members that have not recorded the silence
         */
        record AwaitingSilenceRecords(List<NodeId> members) implements Decision {}
    }

    /** Decides whether the shards of {@code member} may be taken over. */
    public Decision decide(NodeRow member, MembershipView view) {
        if (member.state() == NodeState.GONE) {
            return new Decision.NotDue();
        }
        if (view.unchangedFor(member.node()).compareTo(outageGrace.plus(takeoverTimeout)) >= 0) {
            // Even in an outage the member has stopped by now, so no records are needed.
            return new Decision.Allowed();
        }
        if (view.silentFor(member.node()).compareTo(takeoverTimeout) < 0) {
            return new Decision.NotDue();
        }
        List<NodeId> membersWithoutRecord = view.rows().stream()
                .filter(row -> row.state() != NodeState.GONE)
                .filter(row -> !row.node().equals(member.node()))
                .filter(row -> !row.recordsAsSilent(member))
                .map(NodeRow::node)
                .toList();
        return membersWithoutRecord.isEmpty()
                ? new Decision.Allowed()
                : new Decision.AwaitingSilenceRecords(membersWithoutRecord);
    }
}
