package org.tamarackline.entry.jobs;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.task.RackLoad;

/**
 * A rack in the state dump.
 *
 * @param shard rack
 * @param epoch epoch of the ownership
 * @param ready whether its rows were read and it takes decisions
 * @param load what it has to offer
 */
record RackDump(ShardId shard, Epoch epoch, boolean ready, RackLoad load) {}
