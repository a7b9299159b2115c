package org.tamarackline.core.ownership;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/**
 * The row of a shard in the platform's table.
 *
 * @param shard identity of the shard
 * @param owner node that owns the shard
 * @param incarnation incarnation of the owner
 * @param epoch epoch of the ownership, raised by one with each change of owner
 * @param dataCentre data centre of the rack or runner group
 */
public record ShardRow(ShardId shard, NodeId owner, Incarnation incarnation, Epoch epoch, DataCentre dataCentre) {

    /** Returns the row after a change of owner. */
    public ShardRow ownedBy(NodeId nextOwner, Incarnation nextIncarnation) {
        return new ShardRow(shard, nextOwner, nextIncarnation, epoch.next(), dataCentre);
    }
}
