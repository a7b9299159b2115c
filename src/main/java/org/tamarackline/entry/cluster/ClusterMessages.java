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

/**
 * The messages between nodes about membership, ownership and configuration. {@link ClusterMessageHandler} handles them.
 */
final class ClusterMessages {

    /** Message types with their names on the wire, to register with the codec. */
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
     * Checks whether a peer is alive and reports the sender's configuration version to it; the response is {@link
     * Pong}.
     *
     * @param incarnation incarnation of the sender
     * @param region region of the sender
     * @param configVersion version of the configuration in force at the sender, -1 if it has none
     */
    record Ping(Incarnation incarnation, Region region, long configVersion) implements ClusterMessage {}

    /**
     * Response to {@link Ping}.
     *
     * @param platformAccess whether the platform responded recently to a request that the responding node itself sent
     * @param outageEvidence whether the responding node is a live member of the sender's region that does not reach the
     *     platform either
     * @param configVersion version of the configuration in force at the responding node, -1 if it has none
     * @param ownedVersion version of the responding node's list of owned shards, raised with each change
     * @param leaving whether the responding node is shutting down
     */
    record Pong(boolean platformAccess, boolean outageEvidence, long configVersion, long ownedVersion, boolean leaving)
            implements ClusterMessage {}

    /**
     * Requests that a peer writes the sender's heartbeat and reads the node rows; the response is {@link Relayed}.
     *
     * @param row row to write, empty to read the node rows only
     * @param expectedVersion version that the sender's row in the table must have
     * @param token token of the transaction
     */
    record RelayHeartbeat(Optional<NodeRow> row, long expectedVersion, String token) implements ClusterMessage {}

    /**
     * Response to {@link RelayHeartbeat}.
     *
     * @param outcome outcome of the write
     * @param rows node rows, read after the write; empty if they could not be read
     * @param configVersion current version of the configuration in the table
     */
    record Relayed(RelayOutcome outcome, Optional<NodeScan> rows, long configVersion) implements ClusterMessage {}

    /** Outcome of a relayed write. */
    enum RelayOutcome {
        /** The write took effect. */
        APPLIED,
        /** The write did not and will not take effect. */
        NOT_APPLIED,
        /** The write may take effect. */
        UNKNOWN
    }

    /** Requests the configuration in force; the response is {@link ConfigurationContent}. */
    record FetchConfiguration() implements ClusterMessage {}

    /**
     * Response to {@link FetchConfiguration}.
     *
     * @param configuration configuration in force, empty if there is none yet
     */
    record ConfigurationContent(Optional<Configuration> configuration) implements ClusterMessage {}

    /**
     * Sends a newly accepted configuration to a peer; the response is {@link ConfigurationInForce}.
     *
     * @param configuration accepted configuration
     */
    record PushConfiguration(Configuration configuration) implements ClusterMessage {}

    /**
     * Response to {@link PushConfiguration}.
     *
     * @param version version of the configuration in force at the responding node
     */
    record ConfigurationInForce(long version) implements ClusterMessage {}

    /** Requests the shards that a peer owns; the response is {@link Owned}. */
    record FetchOwned() implements ClusterMessage {}

    /**
     * Response to {@link FetchOwned}.
     *
     * @param version version of this list, as {@code ownedVersion} of {@link Pong}
     * @param shards shards that the responding node owns
     */
    record Owned(long version, List<OwnedShard> shards) implements ClusterMessage {}

    /**
     * An owned shard.
     *
     * @param shard identity of the shard
     * @param epoch epoch under which it is owned
     */
    record OwnedShard(ShardId shard, Epoch epoch) {}

    /** Requests the node rows that a peer knows; the response is {@link Members}. */
    record FetchMembers() implements ClusterMessage {}

    /**
     * Response to {@link FetchMembers}.
     *
     * @param rows node rows that the responding node read with its last poll
     */
    record Members(List<NodeRow> rows) implements ClusterMessage {}

    /**
     * Sends the state of a shard to its next owner, before the shard's row is changed to name that owner.
     *
     * @param next row that the current owner is about to write
     * @param state state of the shard for the next owner
     */
    record HandOverShard(ShardRow next, JsonNode state) implements ClusterMessage {}

    /**
     * Notifies the next owner that the shard's row now names it.
     *
     * @param shard identity of the shard
     */
    record HandOverDone(ShardId shard) implements ClusterMessage {}
}
