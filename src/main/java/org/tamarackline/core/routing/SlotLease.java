package org.tamarackline.core.routing;

import org.tamarackline.core.model.ShardId;

/**
 * The right to send one request to a runner.
 *
 * @param grantId identifies the use at the owner of the runner
 * @param shard runner group of the runner
 * @param runner runner to send to
 */
public record SlotLease(long grantId, ShardId shard, Runner runner) {}
