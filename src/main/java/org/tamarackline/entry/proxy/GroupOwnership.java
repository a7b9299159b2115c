package org.tamarackline.entry.proxy;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.routing.SlotHandover;
import org.tamarackline.entry.cluster.OwnershipListener;

/** Tells the slot broker which runner groups this node owns. */
@Singleton
public final class GroupOwnership implements OwnershipListener {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final SlotBroker broker;
    private final ObjectMapper json = new ObjectMapper();

    /** Creates the listener. */
    @Inject
    public GroupOwnership(SlotBroker broker) {
        this.broker = broker;
    }

    @Override
    public boolean accepts(ShardId shard) {
        return Shard.isGroup(shard);
    }

    @Override
    public void gained(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver) {
        SlotBroker.GroupOrigin groupOrigin = switch (origin) {
            case FIRST -> new SlotBroker.GroupOrigin.Fresh();
            case TAKEOVER -> new SlotBroker.GroupOrigin.AfterFailure();
            case HANDOVER -> read(handedOver);
        };
        broker.gained(shard, groupOrigin);
    }

    /** A state that cannot be read tells nothing about open uses, so the group counts as taken over. */
    private SlotBroker.GroupOrigin read(Optional<JsonNode> handedOver) {
        if (handedOver.isEmpty()) {
            return new SlotBroker.GroupOrigin.AfterFailure();
        }
        try {
            return new SlotBroker.GroupOrigin.HandedOver(json.treeToValue(handedOver.get(), SlotHandover.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.atWarning().withCause(e).log("handed-over slots could not be read");
            return new SlotBroker.GroupOrigin.AfterFailure();
        }
    }

    @Override
    public JsonNode prepareHandover(ShardId shard) {
        return json.valueToTree(broker.prepareHandover(shard));
    }

    @Override
    public void lost(ShardId shard) {
        broker.lost(shard);
    }
}
