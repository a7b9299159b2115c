package org.tamarackline.entry.cluster;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;

/** Is told when this node gains or loses a shard. Calls come from one thread, in order. */
public interface OwnershipListener {

    /** Returns whether this listener runs shards of this kind. */
    boolean accepts(ShardId shard);

    /**
     * Called after this node became owner of the shard.
     *
     * @param epoch epoch of the ownership
     * @param origin how the shard was gained
     * @param handedOver state from the leaving owner, empty unless {@code origin} is {@link Origin#HANDOVER}
     */
    void acquired(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver);

    /** Called before this node hands the shard over: stop new work on it and return the state for the next owner. */
    JsonNode prepareHandover(ShardId shard);

    /** Called after this node lost the shard, for whatever reason. */
    void lost(ShardId shard);

    /** How a shard was gained. */
    enum Origin {
        /** The shard had no earlier owner. */
        FIRST,
        /** The earlier owner handed it over in order. */
        HANDOVER,
        /** The earlier owner failed; it has stopped, but what it sent may still have effects. */
        TAKEOVER
    }
}
