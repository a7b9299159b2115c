/**
 * Cluster membership, shard ownership and configuration of an entry node: the loops that maintain them and the messages
 * between nodes that they use.
 */
package org.tamarackline.entry.cluster;
