package org.tamarackline.entry.jobs;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;
import org.tamarackline.worker.WorkerGateway;

/**
 * What the runners of all racks share.
 *
 * @param cluster membership and ownership
 * @param stores platform's table and object store
 * @param gateway workers
 * @param peers other nodes
 * @param settings settings of the node
 * @param clock clock of all times
 * @param executors where state is changed and where calls wait
 */
record JobsContext(
        Cluster cluster,
        JobStores stores,
        WorkerGateway gateway,
        PeerCaller peers,
        EntrySettings settings,
        MonotonicClock clock,
        JobExecutors executors) {

    TableStore table() {
        return stores.table();
    }

    ObjectStore objects() {
        return stores.objects();
    }

    RowFormat rowFormat() {
        return new RowFormat(settings.region());
    }
}
