package org.tamarackline.entry.jobs;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;
import org.tamarackline.worker.WorkerGateway;

/**
 * Components that the classes of this package share.
 *
 * @param cluster membership and ownership
 * @param stores table and object store of the platform
 * @param gateway client of the workers
 * @param peers client of the other nodes
 * @param settings settings of the node
 * @param clock clock for all deadlines and intervals
 * @param executors loop that owns the state, and executor of blocking calls
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
