package org.tamarackline.entry.cluster;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;

/** Is notified when this node acquires or loses a shard. Calls are made in order and one at a time. */
public interface OwnershipListener {

    /** Returns whether this listener handles shards of this kind. */
    boolean accepts(ShardId shard);

    /**
     * Called after this node became the owner of the shard.
     *
     * @param epoch epoch of the ownership
     * @param origin how the shard was acquired
     * @param handedOver state from the previous owner, empty unless {@code origin} is {@link Origin#HANDOVER}
     */
    void acquired(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver);

    /** Called before this node hands the shard over; stops new work on it and returns its state for the next owner. */
    JsonNode prepareHandover(ShardId shard);

    /** Called after this node ceased to own the shard, for any reason. */
    void lost(ShardId shard);

    /** How a shard was acquired. */
    enum Origin {
        /** The shard had no previous owner. */
        FIRST,
        /** The previous owner handed the shard over. */
        HANDOVER,
        /** The previous owner failed. It has stopped, but requests that it sent may still take effect. */
        TAKEOVER
    }
}
