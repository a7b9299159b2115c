package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.peer.ClusterMessage;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;

/**
 * Handles the {@link ClusterMessages} of peers: pings, relayed heartbeats, configuration, and handovers of shards to
 * this node.
 */
final class ClusterMessageHandler implements PeerHandler {

    private final EntrySettings settings;
    private final MembershipState membership;
    private final ClusterTable table;
    private final ConfigurationTable configurationTable;
    private final ConfigurationReplica configurationReplica;
    private final OwnershipLoop ownershipLoop;

    ClusterMessageHandler(ClusterContext context, ConfigurationTable configurationTable, OwnershipLoop ownershipLoop) {
        settings = context.settings();
        membership = context.membership();
        table = context.table();
        configurationReplica = context.configurationReplica();
        this.configurationTable = configurationTable;
        this.ownershipLoop = ownershipLoop;
    }

    @Override
    public Optional<PeerMessage> handle(NodeId sender, PeerMessage request) {
        if (!(request instanceof ClusterMessage)) {
            return Optional.empty();
        }
        return Optional.ofNullable(
                switch (request) {
                    case ClusterMessages.Ping ping -> pong(sender, ping);
                    case ClusterMessages.RelayHeartbeat relay -> relayHeartbeat(sender, relay);
                    case ClusterMessages.FetchConfiguration fetch ->
                        new ClusterMessages.ConfigurationContent(configurationReplica.inForce());
                    case ClusterMessages.PushConfiguration push -> installPushed(push);
                    case ClusterMessages.FetchOwned fetch -> listOwnedShards();
                    case ClusterMessages.FetchMembers fetch -> new ClusterMessages.Members(membership.polledRows());
                    case ClusterMessages.HandOverShard handover -> receiveShardState(handover);
                    case ClusterMessages.HandOverDone done -> {
                        ownershipLoop.requestScan();
                        yield new PeerMessage.Ok();
                    }
                    default -> null;
                });
    }

    private PeerMessage pong(NodeId sender, ClusterMessages.Ping ping) {
        boolean sameRegion = ping.region().equals(settings.region());
        return new ClusterMessages.Pong(
                membership.hasPlatformAccess(),
                sameRegion && membership.decideOutageEvidence(sender, ping.incarnation()),
                configurationReplica.version(),
                membership.ownedVersion(),
                membership.isLeaving());
    }

    private PeerMessage relayHeartbeat(NodeId sender, ClusterMessages.RelayHeartbeat relay) {
        if (relay.row().isPresent() && !relay.row().get().node().equals(sender)) {
            return new PeerMessage.Refused("NOT_OWN_ROW", "a relayed heartbeat must be the sender's");
        }
        ClusterMessages.RelayOutcome outcome = writeRelayedRow(relay);
        try {
            NodeScan scan = table.scanNodes();
            return new ClusterMessages.Relayed(
                    outcome,
                    Optional.of(scan),
                    configurationTable.readCurrentVersion().version());
        } catch (PlatformUnavailableException e) {
            return new ClusterMessages.Relayed(outcome, Optional.empty(), ConfigurationReplica.NO_VERSION);
        }
    }

    private ClusterMessages.RelayOutcome writeRelayedRow(ClusterMessages.RelayHeartbeat relay) {
        if (relay.row().isEmpty()) {
            return ClusterMessages.RelayOutcome.NOT_APPLIED;
        }
        try {
            table.writeNode(relay.row().get(), relay.expectedVersion(), relay.token());
            return ClusterMessages.RelayOutcome.APPLIED;
        } catch (OutcomeUnknownException e) {
            return ClusterMessages.RelayOutcome.UNKNOWN;
        } catch (PlatformException e) {
            return ClusterMessages.RelayOutcome.NOT_APPLIED;
        }
    }

    private PeerMessage installPushed(ClusterMessages.PushConfiguration push) {
        configurationReplica.install(push.configuration());
        return new ClusterMessages.ConfigurationInForce(configurationReplica.version());
    }

    private PeerMessage listOwnedShards() {
        long version = membership.ownedVersion();
        List<ClusterMessages.OwnedShard> shards = membership.ownedShards().list().stream()
                .flatMap(this::withEpoch)
                .toList();
        return new ClusterMessages.Owned(version, shards);
    }

    private Stream<ClusterMessages.OwnedShard> withEpoch(ShardId shard) {
        return membership.ownedShards().epochOf(shard).stream()
                .map(epoch -> new ClusterMessages.OwnedShard(shard, epoch));
    }

    private PeerMessage receiveShardState(ClusterMessages.HandOverShard handover) {
        if (ownershipLoop.acceptHandover(handover.next(), handover.state())) {
            return new PeerMessage.Ok();
        }
        MembershipStatus status = membership.status();
        return new PeerMessage.Refused(
                "HANDOVER_REFUSED",
                "this process has status %s, is leaving or is not the named owner".formatted(status));
    }
}
