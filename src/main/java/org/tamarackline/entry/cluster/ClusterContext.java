package org.tamarackline.entry.cluster;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.settings.EntrySettings;

/**
 * What the loops of a node share.
 *
 * @param settings settings of the node
 * @param self identity of the node
 * @param clock clock of the node
 * @param table node and shard rows
 * @param membership membership in memory
 * @param peerDirectory what peers said
 * @param configurationReplica configuration in force
 * @param peerCaller calls to other nodes
 * @param fanout how several peers are called
 */
record ClusterContext(
        EntrySettings settings,
        LocalNode self,
        MonotonicClock clock,
        ClusterTable table,
        MembershipState membership,
        PeerDirectory peerDirectory,
        ConfigurationReplica configurationReplica,
        PeerCaller peerCaller,
        Fanout fanout) {}
