package org.tamarackline.entry.cluster;

import java.io.IOException;
import java.util.List;

import org.tamarackline.core.model.ShardId;
import org.tamarackline.peer.PeerClient;
import org.tamarackline.peer.PeerServer;

/** Starts and stops the node's part in the cluster in the right order. */
public final class ClusterService {

    private final PeerServer server;
    private final PeerClient client;
    private final MembershipRunner runner;

    /** Creates the service, which does not run yet. */
    public ClusterService(PeerServer server, PeerClient client, MembershipRunner runner) {
        this.server = server;
        this.client = client;
        this.runner = runner;
    }

    /**
     * Binds the peer address and joins.
     *
     * @throws IOException if the peer address cannot be bound
     */
    public void start() throws IOException {
        server.start();
        runner.start();
    }

    /** Tells the others that this node is leaving; it takes no further shards from then on. */
    public void leave() {
        runner.leave();
    }

    /** Hands all shards over; returns those that could not be handed over. */
    public List<ShardId> handOverAll() {
        return runner.handOverAll();
    }

    /** Ends the membership and closes all connections. */
    public void stop() {
        runner.stop();
        server.stop();
        client.stop();
    }
}
