package org.tamarackline.entry.cluster;

import java.io.IOException;
import java.util.List;

import org.tamarackline.core.model.ShardId;
import org.tamarackline.peer.PeerClient;
import org.tamarackline.peer.PeerServer;

/**
 * Starts and stops this node's participation in the cluster, peer server and client included. A shutdown calls {@link
 * #leave}, {@link #handOverAll} and {@link #stop}, in this order.
 */
public final class ClusterService {

    private final PeerServer server;
    private final PeerClient client;
    private final ClusterNode clusterNode;

    /** Creates the service without starting it. */
    public ClusterService(PeerServer server, PeerClient client, ClusterNode clusterNode) {
        this.server = server;
        this.client = client;
        this.clusterNode = clusterNode;
    }

    /**
     * Binds the peer address and joins the cluster.
     *
     * @throws IOException if the peer address cannot be bound
     */
    public void start() throws IOException {
        server.start();
        clusterNode.start();
    }

    /** Announces that this node is leaving; it acquires no further shards from then on. */
    public void leave() {
        clusterNode.leave();
    }

    /** Hands all shards over to other nodes; returns those that could not be handed over. */
    public List<ShardId> handOverAll() {
        return clusterNode.handOverAll();
    }

    /** Ends the membership and closes all connections. */
    public void stop() {
        clusterNode.stop();
        server.stop();
        client.stop();
    }
}
