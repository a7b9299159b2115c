package org.tamarackline.core.routing;

import org.tamarackline.core.model.ShardId;

/**
 * A granted slot: the right to send one request to a runner.
 *
 * @param grantId identifier of the use, by which the slot is returned to the owner of the runner group
 * @param shard runner group of the runner
 * @param runner runner that gets the request
 */
public record SlotLease(long grantId, ShardId shard, Runner runner) {}
