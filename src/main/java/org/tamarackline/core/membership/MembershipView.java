package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.tamarackline.core.model.NodeId;

/**
 * What one observer has seen of the node rows. Not thread-safe.
 *
 * <p>All times are the observer's. They are chosen so that a member is never taken for silent longer than it was: from
 * the moment at which the answer that first showed a counter arrived to the moment at which the newest poll was sent.
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
     * @param maxPollGap time between two polls after which every observation window starts again, because a pause of the
     *     observer or of the platform must not look like a silence of the members
     */
    public MembershipView(Duration maxPollGap) {
        maxPollGapNanos = maxPollGap.toNanos();
    }

    /** Takes in the result of a poll that was sent and answered at the given times; an older one than the last is ignored. */
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

    /** Returns the newest row of the node. */
    public Optional<NodeRow> row(NodeId node) {
        return Optional.ofNullable(rows.get(node));
    }

    /** Returns the newest rows in the order of their nodes. */
    public List<NodeRow> rows() {
        return List.copyOf(rows.values());
    }

    /** Returns for how long the member's counter did not change within the present observation window. */
    public Duration silentFor(NodeId node) {
        Long seenNanos = firstSeenNanos.get(node);
        if (seenNanos == null) {
            return Duration.ZERO;
        }
        return sinceNanos(Math.max(seenNanos, windowStartNanos));
    }

    /** Returns for how long the member's counter did not change, gaps between polls included. */
    public Duration unchangedFor(NodeId node) {
        Long seenNanos = firstSeenNanos.get(node);
        return seenNanos == null ? Duration.ZERO : sinceNanos(seenNanos);
    }

    /** Returns whether the window is at least as long as {@code duration}. */
    public boolean hasObservedFor(Duration duration) {
        return polled && sinceNanos(windowStartNanos).compareTo(duration) >= 0;
    }

    private Duration sinceNanos(long startNanos) {
        return Duration.ofNanos(Math.max(0, lastPollSentNanos - startNanos));
    }
}
