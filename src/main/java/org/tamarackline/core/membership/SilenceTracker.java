package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/**
 * Tracks which members this node records as silent in its row. This node gives those members no outage evidence. Not
 * thread-safe.
 *
 * <p>A record is in force from the attempt to write it until a later heartbeat without it has certainly taken effect.
 */
public final class SilenceTracker {

    private final long evidenceCooldownNanos;
    private final Duration silenceThreshold;
    private final Map<NodeId, Long> lastEvidenceNanos = new HashMap<>();
    private final TreeMap<Long, List<SilentPeer>> recordsByCounter = new TreeMap<>();

    /**
     * Creates a tracker without records.
     *
     * @param silenceThreshold silence after which a member is recorded as silent
     * @param evidenceCooldown minimum time between the last evidence given to a member and its record
     */
    public SilenceTracker(Duration silenceThreshold, Duration evidenceCooldown) {
        this.silenceThreshold = silenceThreshold;
        evidenceCooldownNanos = evidenceCooldown.toNanos();
    }

    /** Returns the members to record as silent in the next heartbeat. */
    public List<SilentPeer> peersToRecord(NodeId self, MembershipView view, long nowNanos) {
        return view.rows().stream()
                .filter(row -> !row.node().equals(self))
                .filter(row -> row.state() != NodeState.GONE)
                .filter(row -> view.silentFor(row.node()).compareTo(silenceThreshold) >= 0)
                .filter(row -> isEvidenceCooldownOver(row.node(), nowNanos))
                .map(row -> new SilentPeer(row.node(), row.incarnation(), row.counter()))
                .toList();
    }

    private boolean isEvidenceCooldownOver(NodeId node, long nowNanos) {
        Long lastNanos = lastEvidenceNanos.get(node);
        return lastNanos == null || nowNanos - lastNanos >= evidenceCooldownNanos;
    }

    /** Records that a heartbeat with {@code counter} and these silent members is about to be sent. */
    public void heartbeatAttempted(long counter, List<SilentPeer> silent) {
        recordsByCounter.put(counter, silent);
    }

    /** Records that the heartbeat with {@code counter} took effect, so that earlier ones no longer can. */
    public void heartbeatWritten(long counter) {
        recordsByCounter.headMap(counter, false).clear();
    }

    /** Records that the heartbeat with {@code counter} certainly did not and will not take effect. */
    public void heartbeatDropped(long counter) {
        recordsByCounter.remove(counter);
    }

    /** Returns whether the row of this node may record this incarnation as silent. */
    public boolean mayBeRecorded(NodeId node, Incarnation incarnation) {
        return recordsByCounter.values().stream()
                .flatMap(List::stream)
                .anyMatch(peer -> peer.node().equals(node) && peer.incarnation().equals(incarnation));
    }

    /** Records that outage evidence is given to {@code node}. */
    public void evidenceGiven(NodeId node, long nowNanos) {
        lastEvidenceNanos.put(node, nowNanos);
    }

    /** Returns whether the cooldown has passed since the last evidence given to any member. */
    public boolean areAllEvidenceCooldownsOver(long nowNanos) {
        return lastEvidenceNanos.keySet().stream().allMatch(node -> isEvidenceCooldownOver(node, nowNanos));
    }

    /** Removes the records after this node lost its row. The times of given evidence are kept. */
    public void clearRecords() {
        recordsByCounter.clear();
    }
}
