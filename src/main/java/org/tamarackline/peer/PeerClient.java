package org.tamarackline.peer;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.settings.Secret;

/**
 * Sends requests to other nodes over one current connection per node, which concurrent calls share. A connection that was
 * replaced after a timeout stays open until its calls in progress have ended.
 */
public final class PeerClient implements PeerCaller {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final PeerCodec codec;
    private final PeerTraffic traffic;
    private final PeerLimits limits;
    private final Handshake handshake;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<NodeId, NodeConnection> nodeConnections = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Creates a client without connections. */
    public PeerClient(LocalNode localNode, Secret key, PeerCodec codec, PeerTraffic traffic, PeerLimits limits) {
        this.codec = codec;
        this.traffic = traffic;
        this.limits = limits;
        handshake = new Handshake(localNode, key, limits.handshakeTimeout());
    }

    @Override
    public PeerMessage call(NodeId node, PeerMessage request, Duration timeout) throws PeerException {
        long deadlineNanos = clock.nowNanos() + timeout.toNanos();
        PeerConnection connection = connection(node, deadlineNanos);
        try {
            return connection.call(request, deadlineNanos);
        } catch (PeerException e) {
            if (e.reason() == PeerException.Reason.TIMEOUT) {
                retire(node, connection);
            }
            throw e;
        }
    }

    /**
     * Closes the current connections and those that are being opened; no later call opens one.
     */
    public void stop() {
        stopped = true;
        nodeConnections.values().forEach(NodeConnection::close);
    }

    private PeerConnection connection(NodeId node, long deadlineNanos) throws PeerException {
        NodeConnection nodeConnection = nodeConnections.get(node);
        if (nodeConnection == null) {
            checkConnectionLimit(node);
            nodeConnection = nodeConnections.computeIfAbsent(node, key -> new NodeConnection());
        }
        PeerConnection current = nodeConnection.current;
        if (current != null && current.isUsable()) {
            return current;
        }
        return connect(node, nodeConnection, deadlineNanos);
    }

    /** Removes unused connections if the limit is reached; throws if it is still reached. */
    private void checkConnectionLimit(NodeId node) throws PeerException {
        if (nodeConnections.size() >= limits.maxConnections()) {
            nodeConnections.values().removeIf(NodeConnection::isUnused);
        }
        if (nodeConnections.size() >= limits.maxConnections()) {
            throw new PeerException(
                    PeerException.Reason.UNREACHABLE,
                    "node %s not called: the limit of %d connections is reached"
                            .formatted(node, limits.maxConnections()),
                    null);
        }
    }

    private PeerConnection connect(NodeId node, NodeConnection nodeConnection, long deadlineNanos)
            throws PeerException {
        lockUntil(node, nodeConnection.connecting, deadlineNanos);
        try {
            PeerConnection current = nodeConnection.current;
            if (current != null && current.isUsable()) {
                return current;
            }
            PeerConnection opened = open(node, nodeConnection, deadlineNanos);
            nodeConnection.current = opened;
            return opened;
        } finally {
            nodeConnection.opening = null;
            nodeConnection.connecting.unlock();
        }
    }

    private void lockUntil(NodeId node, ReentrantLock lock, long deadlineNanos) throws PeerException {
        try {
            if (lock.tryLock(Math.max(0, deadlineNanos - clock.nowNanos()), TimeUnit.NANOSECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw unreachable(node, null);
    }

    private PeerConnection open(NodeId node, NodeConnection nodeConnection, long deadlineNanos) throws PeerException {
        Socket socket = new Socket();
        FrameChannel channel = null;
        // Set before the check: a stop that the check does not see yet finds the socket and closes it.
        nodeConnection.opening = socket;
        if (stopped) {
            closeBoth(socket, channel);
            throw unreachable(node, null);
        }
        try {
            int remainingMs = (int) TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nowNanos());
            socket.connect(PeerAddresses.parse(node), Math.max(1, remainingMs));
            channel = new FrameChannel(socket, codec, traffic, clock);
            handshake.connect(channel, node, Duration.ofNanos(deadlineNanos - clock.nowNanos()));
            return new PeerConnection(node, channel, codec, limits, clock);
        } catch (HandshakeException e) {
            closeBoth(socket, channel);
            LOG.atWarning().log("handshake with %s failed: %s", node, e.getMessage());
            throw new PeerException(
                    PeerException.Reason.HANDSHAKE_REJECTED,
                    "handshake with %s failed: %s".formatted(node, e.getMessage()),
                    e);
        } catch (IOException | IllegalArgumentException e) {
            closeBoth(socket, channel);
            throw unreachable(node, e);
        }
    }

    private static void closeBoth(Socket socket, FrameChannel channel) {
        if (channel != null) {
            channel.close();
        }
        try {
            socket.close();
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("socket could not be closed");
        }
    }

    private void retire(NodeId node, PeerConnection connection) {
        NodeConnection nodeConnection = nodeConnections.get(node);
        if (nodeConnection != null && nodeConnection.current == connection) {
            nodeConnection.current = null;
        }
        connection.retire();
    }

    private static PeerException unreachable(NodeId node, Throwable cause) {
        return new PeerException(
                PeerException.Reason.UNREACHABLE, "connection to node %s could not be opened".formatted(node), cause);
    }

    /** Holds the current connection to a node, if there is one, and the socket of one that is being opened. */
    private static final class NodeConnection {

        private final ReentrantLock connecting = new ReentrantLock();
        private volatile PeerConnection current;
        private volatile Socket opening;

        boolean isUnused() {
            PeerConnection connection = current;
            return !connecting.isLocked() && (connection == null || !connection.isUsable());
        }

        /** Closes the socket first: when it is no longer being opened, the connection that uses it is the current one. */
        void close() {
            Socket socket = opening;
            if (socket != null) {
                closeBoth(socket, null);
            }
            PeerConnection connection = current;
            if (connection != null) {
                connection.close("this node is stopping");
            }
        }
    }
}
