package org.tamarackline.entry.jobs;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.task.RackLoad;

/**
 * Entry of a rack in the state dump.
 *
 * @param shard rack
 * @param epoch epoch under which this node owns the rack
 * @param ready whether its rows have been read and its tasks are being scheduled
 * @param load capacity and waiting tasks of the rack
 */
record RackDump(ShardId shard, Epoch epoch, boolean ready, RackLoad load) {}
