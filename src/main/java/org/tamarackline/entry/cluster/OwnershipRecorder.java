package org.tamarackline.entry.cluster;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.peer.LocalNode;

/** Records that this process owns a shard whose row names it, and notifies the listeners. */
final class OwnershipRecorder {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final LocalNode self;
    private final MembershipState membership;
    private final PeerDirectory peerDirectory;
    private final OwnershipNotifier notifier;

    OwnershipRecorder(ClusterContext context, OwnershipNotifier notifier) {
        self = context.self();
        membership = context.membership();
        peerDirectory = context.peerDirectory();
        this.notifier = notifier;
    }

    /** Records the shard as owned if this process is still a member under {@code incarnation}. */
    void recordAcquired(
            ShardRow row, Incarnation incarnation, OwnershipListener.Origin origin, Optional<JsonNode> handedOver) {
        boolean[] acquired = new boolean[1];
        membership.changeOwnershipIfMember(incarnation, () -> {
            acquired[0] = membership.ownedShards().add(row.shard(), row.epoch());
            if (acquired[0]) {
                notifier.queueAcquired(row.shard(), row.epoch(), origin, handedOver);
            }
        });
        if (acquired[0]) {
            peerDirectory.recordOwner(row.shard(), self.node(), row.epoch());
            LOG.atInfo().log(
                    "shard %s acquired by %s at epoch %d",
                    row.shard(), origin, row.epoch().value());
        }
    }
}
