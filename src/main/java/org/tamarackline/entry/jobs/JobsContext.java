package org.tamarackline.entry.jobs;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.TableStore;
import org.tamarackline.worker.WorkerGateway;

/**
 * What the runners of all racks share.
 *
 * @param cluster membership and ownership
 * @param table platform's table
 * @param gateway workers
 * @param peers other nodes
 * @param settings settings of the node
 * @param clock clock of all times
 * @param threads where state is changed and where calls wait
 */
record JobsContext(
        Cluster cluster,
        TableStore table,
        WorkerGateway gateway,
        PeerCaller peers,
        EntrySettings settings,
        MonotonicClock clock,
        JobThreads threads) {

    JobRows rows() {
        return new JobRows(settings.region());
    }
}
