package org.tamarackline.entry.cluster;

import java.util.List;

/**
 * The node rows of the region at one moment.
 *
 * @param nodes rows that could be read
 * @param complete whether all rows could be read; otherwise members may be missing, and nothing may be taken from them
 */
record NodeScan(List<VersionedNodeRow> nodes, boolean complete) {}
