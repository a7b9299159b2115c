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

/** Calls other nodes over one shared connection to each. */
public final class PeerClient implements PeerCaller {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final PeerCodec codec;
    private final PeerTraffic traffic;
    private final PeerLimits limits;
    private final Handshake handshake;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<NodeId, Slot> slots = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Creates a client without connections. */
    public PeerClient(LocalNode self, Secret key, PeerCodec codec, PeerTraffic traffic, PeerLimits limits) {
        this.codec = codec;
        this.traffic = traffic;
        this.limits = limits;
        handshake = new Handshake(self, key, limits.handshakeTimeout());
    }

    @Override
    public PeerMessage call(NodeId node, PeerMessage request, Duration timeout) throws PeerException {
        long deadlineNanos = clock.nowNanos() + timeout.toNanos();
        PeerConnection connection = connection(node, deadlineNanos);
        try {
            return connection.call(request, deadlineNanos);
        } catch (PeerException e) {
            if (e.reason() == PeerException.Reason.TIMEOUT) {
                replace(node, connection);
            }
            throw e;
        }
    }

    /** Closes all connections; later calls fail. */
    public void stop() {
        stopped = true;
        slots.values().forEach(Slot::close);
    }

    private PeerConnection connection(NodeId node, long deadlineNanos) throws PeerException {
        Slot slot = slots.get(node);
        if (slot == null) {
            checkRoom(node);
            slot = slots.computeIfAbsent(node, key -> new Slot());
        }
        PeerConnection current = slot.current;
        if (current != null && current.isUsable()) {
            return current;
        }
        return connect(node, slot, deadlineNanos);
    }

    private void checkRoom(NodeId node) throws PeerException {
        if (slots.size() >= limits.connections()) {
            slots.values().removeIf(Slot::isUnused);
        }
        if (slots.size() >= limits.connections()) {
            throw new PeerException(
                    PeerException.Reason.UNREACHABLE,
                    "node %s not called: %d connections are open".formatted(node, limits.connections()),
                    null);
        }
    }

    private PeerConnection connect(NodeId node, Slot slot, long deadlineNanos) throws PeerException {
        lockWithin(node, slot.connecting, deadlineNanos);
        try {
            PeerConnection current = slot.current;
            if (current != null && current.isUsable()) {
                return current;
            }
            PeerConnection opened = open(node, deadlineNanos);
            slot.current = opened;
            return opened;
        } finally {
            slot.connecting.unlock();
        }
    }

    private void lockWithin(NodeId node, ReentrantLock lock, long deadlineNanos) throws PeerException {
        try {
            if (lock.tryLock(Math.max(0, deadlineNanos - clock.nowNanos()), TimeUnit.NANOSECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw unreachable(node, null);
    }

    private PeerConnection open(NodeId node, long deadlineNanos) throws PeerException {
        if (stopped) {
            throw unreachable(node, null);
        }
        Socket socket = new Socket();
        FrameChannel channel = null;
        try {
            int leftMs = (int) TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nowNanos());
            socket.connect(PeerAddresses.parse(node), Math.max(1, leftMs));
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

    private void replace(NodeId node, PeerConnection silent) {
        Slot slot = slots.get(node);
        if (slot != null && slot.current == silent) {
            slot.current = null;
        }
        silent.retire();
    }

    private static PeerException unreachable(NodeId node, Throwable cause) {
        return new PeerException(PeerException.Reason.UNREACHABLE, "node %s cannot be reached".formatted(node), cause);
    }

    /** The connection to one node. */
    private static final class Slot {

        private final ReentrantLock connecting = new ReentrantLock();
        private volatile PeerConnection current;

        boolean isUnused() {
            PeerConnection connection = current;
            return !connecting.isLocked() && (connection == null || !connection.isUsable());
        }

        void close() {
            PeerConnection connection = current;
            if (connection != null) {
                connection.close("this node is stopping");
            }
        }
    }
}
