package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.List;

import org.tamarackline.core.model.NodeId;

/** Decides whether a member has certainly stopped acting, so that its shards may be taken. */
public final class TakeoverRule {

    private final Duration takeTime;
    private final Duration outageGrace;

    /**
     * Creates the rule.
     *
     * @param takeTime silence after which a member may be taken over
     * @param outageGrace longest time for which a member goes on without confirmation
     */
    public TakeoverRule(Duration takeTime, Duration outageGrace) {
        this.takeTime = takeTime;
        this.outageGrace = outageGrace;
    }

    /** The outcome of the rule for one member. */
    public sealed interface Verdict {

        /** The member may be marked as gone, and its shards may be taken. */
        record Allowed() implements Verdict {}

        /** The member is moving, gone or not silent for long enough. */
        record NotSilent() implements Verdict {}

        /**
         * The member is silent, but others have not recorded that; they may be cut off together with it.
         *
         * @param members members whose record is missing
         */
        record Waiting(List<NodeId> members) implements Verdict {}
    }

    /** Returns whether {@code candidate} may be taken over. */
    public Verdict judge(NodeRow candidate, MembershipView view) {
        if (candidate.state() == NodeState.GONE) {
            return new Verdict.NotSilent();
        }
        if (view.unchangedFor(candidate.node()).compareTo(outageGrace.plus(takeTime)) >= 0) {
            return new Verdict.Allowed();
        }
        if (view.silentFor(candidate.node()).compareTo(takeTime) < 0) {
            return new Verdict.NotSilent();
        }
        List<NodeId> missing = view.rows().stream()
                .filter(row -> row.state() != NodeState.GONE)
                .filter(row -> !row.node().equals(candidate.node()))
                .filter(row -> !row.sawSilent(candidate))
                .map(NodeRow::node)
                .toList();
        return missing.isEmpty() ? new Verdict.Allowed() : new Verdict.Waiting(missing);
    }
}
