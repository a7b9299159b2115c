package org.tamarackline.entry.cluster;

import org.tamarackline.core.ownership.ShardRow;

/**
 * A shard row as it is in the table.
 *
 * @param row content of the row
 * @param version version of the row in the table
 */
record VersionedShardRow(ShardRow row, long version) {}
