package org.tamarackline.entry.cluster;

import java.util.List;

/**
 * The result of reading all node rows of the region.
 *
 * @param nodes rows that could be parsed
 * @param complete whether all rows could be parsed; if not, members may be missing, and no shards may be taken over
 */
record NodeScan(List<VersionedNodeRow> nodes, boolean complete) {}
