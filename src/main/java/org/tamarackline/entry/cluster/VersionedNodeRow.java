package org.tamarackline.entry.cluster;

import org.tamarackline.core.membership.NodeRow;

/**
 * A node row with its version in the table.
 *
 * @param row content of the row
 * @param version version of the row in the table
 */
record VersionedNodeRow(NodeRow row, long version) {}
