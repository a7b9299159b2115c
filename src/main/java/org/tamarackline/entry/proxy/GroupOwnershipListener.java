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

/** Adds and removes runner groups when this node acquires, hands over or loses their shards. */
@Singleton
public final class GroupOwnershipListener implements OwnershipListener {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final RunnerGroups groups;
    private final ObjectMapper json = new ObjectMapper();

    /** Creates the listener. */
    @Inject
    public GroupOwnershipListener(RunnerGroups groups) {
        this.groups = groups;
    }

    @Override
    public boolean accepts(ShardId shard) {
        return Shard.isGroup(shard);
    }

    @Override
    public void acquired(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver) {
        GroupOrigin groupOrigin = switch (origin) {
            case FIRST -> new GroupOrigin.FirstOwner();
            case TAKEOVER -> new GroupOrigin.Takeover();
            case HANDOVER -> readHandover(handedOver);
        };
        groups.addGroup(shard, groupOrigin);
    }

    /** Without a readable state the open uses are unknown, so the group is treated as taken over after a failure. */
    private GroupOrigin readHandover(Optional<JsonNode> handedOver) {
        if (handedOver.isEmpty()) {
            return new GroupOrigin.Takeover();
        }
        try {
            return new GroupOrigin.Handover(json.treeToValue(handedOver.get(), SlotHandover.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.atWarning().withCause(e).log(
                    "handover state of a runner group could not be read; treating the group as taken over");
            return new GroupOrigin.Takeover();
        }
    }

    @Override
    public JsonNode prepareHandover(ShardId shard) {
        return json.valueToTree(groups.prepareHandover(shard));
    }

    @Override
    public void lost(ShardId shard) {
        groups.removeGroup(shard);
    }
}
