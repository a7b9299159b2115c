package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.NodeId;

/**
 * The node rows as polled by this node, with the time for which each member has been silent. Not thread-safe.
 *
 * <p>All times are those of this node. The silence of a member is never overestimated: it starts when the response that first
 * showed its present counter arrived, and ends when the newest poll was sent.
 */
public final class MembershipView {

    private final long maxPollGapNanos;
    private Map<NodeId, NodeRow> rows = new TreeMap<>();
    private Map<NodeId, Long> firstSeenNanos = new HashMap<>();
    private long windowStartNanos;
    private long lastPollSentNanos;
    private boolean polled;

    /**
     * Creates a view without observations.
     *
     * @param maxPollGap time between two polls after which the observation of all members starts again, because a pause of this
     *     node or of the platform must not look like silence of the members
     */
    public MembershipView(Duration maxPollGap) {
        maxPollGapNanos = maxPollGap.toNanos();
    }

    /** Records the result of a poll with the times of request and response. A poll sent before the last one is ignored. */
    public void observe(List<NodeRow> polledRows, long sentNanos, long receivedNanos) {
        if (polled && sentNanos < lastPollSentNanos) {
            return;
        }
        if (!polled || sentNanos - lastPollSentNanos > maxPollGapNanos) {
            windowStartNanos = receivedNanos;
        }
        Map<NodeId, NodeRow> nextRows = new TreeMap<>();
        Map<NodeId, Long> nextSeen = new HashMap<>();
        for (NodeRow row : polledRows) {
            NodeRow before = rows.get(row.node());
            boolean unchanged = before != null
                    && before.incarnation().equals(row.incarnation())
                    && before.counter() == row.counter();
            nextRows.put(row.node(), row);
            nextSeen.put(row.node(), unchanged ? firstSeenNanos.get(row.node()) : Long.valueOf(receivedNanos));
        }
        rows = nextRows;
        firstSeenNanos = nextSeen;
        lastPollSentNanos = sentNanos;
        polled = true;
    }

    /** Returns the last polled row of the node. */
    public Optional<NodeRow> row(NodeId node) {
        return Optional.ofNullable(rows.get(node));
    }

    /** Returns the last polled rows in the order of their nodes. */
    public List<NodeRow> rows() {
        return List.copyOf(rows.values());
    }

    /** Returns for how long the member's counter has not changed, without the time before the last gap between polls. */
    public Duration silentFor(NodeId node) {
        Long seenNanos = firstSeenNanos.get(node);
        if (seenNanos == null) {
            return Duration.ZERO;
        }
        return sinceNanos(Math.max(seenNanos, windowStartNanos));
    }

    /** Returns for how long the member's counter has not changed, including gaps between polls. */
    public Duration unchangedFor(NodeId node) {
        Long seenNanos = firstSeenNanos.get(node);
        return seenNanos == null ? Duration.ZERO : sinceNanos(seenNanos);
    }

    /** Returns whether the members have been polled without a gap for at least {@code duration}. */
    public boolean hasObservedFor(Duration duration) {
        return polled && sinceNanos(windowStartNanos).compareTo(duration) >= 0;
    }

    private Duration sinceNanos(long startNanos) {
        return Duration.ofNanos(Math.max(0, lastPollSentNanos - startNanos));
    }
}
