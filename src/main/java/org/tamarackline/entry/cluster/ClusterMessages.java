package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.peer.ClusterMessage;
import org.tamarackline.peer.PeerMessageType;

/** The messages between nodes about membership, ownership and configuration. */
final class ClusterMessages {

    /** The types to register with the codec. */
    static final List<PeerMessageType> TYPES = List.of(
            new PeerMessageType("ping", Ping.class),
            new PeerMessageType("pong", Pong.class),
            new PeerMessageType("relayHeartbeat", RelayHeartbeat.class),
            new PeerMessageType("relayed", Relayed.class),
            new PeerMessageType("fetchConfiguration", FetchConfiguration.class),
            new PeerMessageType("configurationContent", ConfigurationContent.class),
            new PeerMessageType("pushConfiguration", PushConfiguration.class),
            new PeerMessageType("configurationInForce", ConfigurationInForce.class),
            new PeerMessageType("fetchOwned", FetchOwned.class),
            new PeerMessageType("owned", Owned.class),
            new PeerMessageType("fetchMembers", FetchMembers.class),
            new PeerMessageType("members", Members.class),
            new PeerMessageType("handOverShard", HandOverShard.class),
            new PeerMessageType("handOverDone", HandOverDone.class));

    private ClusterMessages() {}

    /**
     * Tells a peer that the sender is alive and what it has; answered by {@link Pong}.
     *
     * @param incarnation incarnation of the sender
     * @param region region of the sender
     * @param configVersion configuration in force at the sender, -1 if it has none
     */
    record Ping(Incarnation incarnation, Region region, long configVersion) implements ClusterMessage {}

    /**
     * Answer to a ping.
     *
     * @param platformAccess whether the answering node reached the platform itself a moment ago
     * @param outageEvidence whether the answering node is a live member of the sender's region without access
     * @param configVersion configuration in force at the answering node, -1 if it has none
     * @param ownedVersion raised with each change of the shards that the answering node owns
     * @param leaving whether the answering node is shutting down
     */
    record Pong(boolean platformAccess, boolean outageEvidence, long configVersion, long ownedVersion, boolean leaving)
            implements ClusterMessage {}

    /**
     * Asks a peer to write the sender's heartbeat and to read the node rows.
     *
     * @param row row to write, empty to read only
     * @param expectedVersion version that the sender's row must have
     * @param token token of the transaction
     */
    record RelayHeartbeat(Optional<NodeRow> row, long expectedVersion, String token) implements ClusterMessage {}

    /**
     * Answer to a relayed heartbeat.
     *
     * @param outcome what became of the write
     * @param rows node rows, read after the write; empty if they could not be read
     * @param configVersion current version of the configuration in the table
     */
    record Relayed(RelayOutcome outcome, Optional<NodeScan> rows, long configVersion) implements ClusterMessage {}

    /** What became of a relayed write. */
    enum RelayOutcome {
        /** The write took effect. */
        APPLIED,
        /** The write did not and will not take effect. */
        NOT_APPLIED,
        /** The write may take effect. */
        UNKNOWN
    }

    /** Asks for the configuration in force. */
    record FetchConfiguration() implements ClusterMessage {}

    /**
     * Answer to {@link FetchConfiguration}.
     *
     * @param configuration configuration in force, empty if there is none yet
     */
    record ConfigurationContent(Optional<Configuration> configuration) implements ClusterMessage {}

    /**
     * Brings an accepted configuration; answered by {@link ConfigurationInForce}.
     *
     * @param configuration accepted configuration
     */
    record PushConfiguration(Configuration configuration) implements ClusterMessage {}

    /**
     * Names the configuration in force at the answering node.
     *
     * @param version version in force
     */
    record ConfigurationInForce(long version) implements ClusterMessage {}

    /** Asks for the shards that the node owns. */
    record FetchOwned() implements ClusterMessage {}

    /**
     * Answer to {@link FetchOwned}.
     *
     * @param version version of this list, see {@link Pong}
     * @param shards shards that the answering node owns
     */
    record Owned(long version, List<OwnedShard> shards) implements ClusterMessage {}

    /**
     * A shard with its epoch.
     *
     * @param shard identity of the shard
     * @param epoch epoch of the ownership
     */
    record OwnedShard(ShardId shard, Epoch epoch) {}

    /** Asks for the members that the node knows. */
    record FetchMembers() implements ClusterMessage {}

    /**
     * Answer to {@link FetchMembers}.
     *
     * @param rows newest node rows that the answering node has seen
     */
    record Members(List<NodeRow> rows) implements ClusterMessage {}

    /**
     * Brings the state of a shard before its ownership changes.
     *
     * @param next row that the leaving owner is about to write
     * @param state state for the next owner
     */
    record HandOverShard(ShardRow next, JsonNode state) implements ClusterMessage {}

    /**
     * Tells the next owner that the shard's row names it.
     *
     * @param shard identity of the shard
     */
    record HandOverDone(ShardId shard) implements ClusterMessage {}
}
