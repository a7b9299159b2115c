package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.List;

import org.tamarackline.core.model.NodeId;

/** Decides whether a member has certainly stopped acting, so that its shards may be taken. */
public final class TakeoverRule {

    private final Duration takeoverTimeout;
    private final Duration outageGrace;

    /**
     * Creates the rule.
     *
     * @param takeoverTimeout silence after which a member may be taken over
     * @param outageGrace longest time for which a member goes on without confirmation
     */
    public TakeoverRule(Duration takeoverTimeout, Duration outageGrace) {
        this.takeoverTimeout = takeoverTimeout;
        this.outageGrace = outageGrace;
    }

    /** The outcome of the rule for one member. */
    public sealed interface Decision {

        /** The member may be marked as gone, and its shards may be taken. */
        record Allowed() implements Decision {}

        /** The member is moving, gone or not silent for long enough. */
        record NotSilent() implements Decision {}

        /**
         * The member is silent, but others have not recorded that; they may be cut off together with it.
         *
         * @param members members whose record is missing
         */
        record AwaitingRecords(List<NodeId> members) implements Decision {}
    }

    /** Returns whether {@code candidate} may be taken over. */
    public Decision decide(NodeRow candidate, MembershipView view) {
        if (candidate.state() == NodeState.GONE) {
            return new Decision.NotSilent();
        }
        if (view.unchangedFor(candidate.node()).compareTo(outageGrace.plus(takeoverTimeout)) >= 0) {
            return new Decision.Allowed();
        }
        if (view.silentFor(candidate.node()).compareTo(takeoverTimeout) < 0) {
            return new Decision.NotSilent();
        }
        List<NodeId> withoutRecord = view.rows().stream()
                .filter(row -> row.state() != NodeState.GONE)
                .filter(row -> !row.node().equals(candidate.node()))
                .filter(row -> !row.recordsSilent(candidate))
                .map(NodeRow::node)
                .toList();
        return withoutRecord.isEmpty() ? new Decision.Allowed() : new Decision.AwaitingRecords(withoutRecord);
    }
}
