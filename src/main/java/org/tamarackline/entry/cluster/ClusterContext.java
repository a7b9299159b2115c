package org.tamarackline.entry.cluster;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.settings.EntrySettings;

/**
 * The settings, state and clients that the classes of this package share.
 *
 * @param settings settings of the node
 * @param self identity of the node
 * @param clock clock of the node
 * @param table access to the node and shard rows in the platform's table
 * @param membership membership state of this node, in memory
 * @param peerDirectory last reports of the peers and the last known shard owners
 * @param configurationReplica copy of the configuration in force
 * @param peerCaller client for calls to other nodes
 * @param fanout calls several peers, concurrently or one after the other
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
