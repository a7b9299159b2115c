package org.tamarackline.entry.cluster;

import org.tamarackline.core.ownership.ShardRow;

/**
 * A shard row with its version in the table.
 *
 * @param row content of the row
 * @param version version of the row in the table, or the version that a row to be written replaces
 */
record VersionedShardRow(ShardRow row, long version) {}
