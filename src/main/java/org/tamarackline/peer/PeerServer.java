package org.tamarackline.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.settings.Secret;

/** Accepts connections from other nodes and passes their requests to the registered handlers. */
public final class PeerServer {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final LocalNode localNode;
    private final PeerCodec codec;
    private final PeerTraffic traffic;
    private final PeerLimits limits;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Handshake handshake;
    private final Set<PeerHandler> handlers;
    private final Semaphore connectionPermits;
    private final Semaphore callPermits;
    private final Set<FrameChannel> openChannels = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket serverSocket;

    /** Creates a server that does not listen yet. */
    public PeerServer(
            LocalNode localNode,
            Secret key,
            PeerCodec codec,
            PeerTraffic traffic,
            PeerLimits limits,
            Set<PeerHandler> handlers) {
        this.localNode = localNode;
        this.codec = codec;
        this.traffic = traffic;
        this.limits = limits;
        this.handlers = Set.copyOf(handlers);
        handshake = new Handshake(localNode, key, limits.handshakeTimeout());
        connectionPermits = new Semaphore(limits.maxConnections());
        callPermits = new Semaphore(limits.maxCalls());
    }

    /**
     * Binds the address of this node and starts to accept connections.
     *
     * @throws IOException if the address cannot be bound, for example while another process uses it
     */
    public void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(PeerAddresses.parse(localNode.node()));
        serverSocket = socket;
        Thread.ofVirtual().name("peer-accept").start(() -> acceptAll(socket));
    }

    /** Closes the server and its connections. */
    public void stop() {
        ServerSocket socket = serverSocket;
        serverSocket = null;
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.atWarning().withCause(e).log("peer server socket could not be closed");
            }
        }
        openChannels.forEach(FrameChannel::close);
    }

    /** Returns the address that the server is bound to. */
    public InetSocketAddress boundAddress() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    private void acceptAll(ServerSocket socket) {
        while (!socket.isClosed()) {
            try {
                Socket accepted = socket.accept();
                Thread.ofVirtual().name("peer-connection").start(() -> serve(accepted));
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    LOG.atWarning().withCause(e).log("peer connection could not be accepted");
                    delayAfterFailure();
                }
            }
        }
    }

    /** Prevents a persistent failure, such as too many open files, from occupying a whole processor. */
    private static void delayAfterFailure() {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket socket) {
        if (!connectionPermits.tryAcquire()) {
            LOG.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "peer connection refused: %d connections are open", limits.maxConnections());
            closeQuietly(socket);
            return;
        }
        try (FrameChannel channel = new FrameChannel(socket, codec, traffic, clock)) {
            openChannels.add(channel);
            if (serverSocket == null) {
                return;
            }
            serveChannel(channel, socket);
            openChannels.remove(channel);
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("peer connection could not be set up");
        } finally {
            connectionPermits.release();
        }
    }

    private void serveChannel(FrameChannel channel, Socket socket) {
        Object remote = socket.getRemoteSocketAddress();
        FrameWriter writer = null;
        try {
            NodeId sender = handshake.accept(channel);
            writer = new FrameWriter(channel, limits.maxCalls(), failure -> channel.close());
            while (true) {
                Frame frame = channel.read(limits.idleTimeout());
                if (!(frame instanceof Frame.Request request)) {
                    throw new MalformedFrameException(
                            "unexpected frame " + frame.getClass().getSimpleName(), null);
                }
                handleAsync(channel, writer, sender, request);
            }
        } catch (MalformedFrameException e) {
            LOG.atWarning().log("connection from %s closed: %s", remote, e.getMessage());
            reject(channel, writer, Frame.FailureCode.MALFORMED, e.getMessage());
        } catch (HandshakeException e) {
            LOG.atWarning().log("handshake of %s rejected: %s", remote, e.getMessage());
            reject(channel, writer, Frame.FailureCode.HANDSHAKE, e.getMessage());
        } catch (SocketTimeoutException e) {
            LOG.atFine().log("idle connection from %s closed", remote);
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("connection from %s ended", remote);
        } finally {
            if (writer != null) {
                writer.close();
            }
        }
    }

    private void handleAsync(FrameChannel channel, FrameWriter writer, NodeId sender, Frame.Request request) {
        if (!callPermits.tryAcquire()) {
            String detail = "%d calls are in progress; retry later".formatted(limits.maxCalls());
            send(channel, writer, new Frame.Failure(request.id(), Frame.FailureCode.OVERLOADED, detail));
            return;
        }
        Thread.ofVirtual().name("peer-call").start(() -> {
            try {
                send(channel, writer, respond(sender, request));
            } finally {
                callPermits.release();
            }
        });
    }

    private Frame respond(NodeId sender, Frame.Request request) {
        try {
            PeerMessage message = codec.fromBody(request.body());
            Optional<PeerMessage> response = callHandlers(sender, message);
            if (response.isEmpty()) {
                return new Frame.Failure(
                        request.id(),
                        Frame.FailureCode.UNKNOWN_REQUEST,
                        "no handler for " + message.getClass().getSimpleName());
            }
            return new Frame.Response(request.id(), codec.toBody(response.get()));
        } catch (MalformedFrameException e) {
            LOG.atWarning().log("request of %s rejected: %s", sender, e.getMessage());
            return new Frame.Failure(request.id(), Frame.FailureCode.UNKNOWN_REQUEST, e.getMessage());
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("request of %s failed", sender);
            return new Frame.Failure(
                    request.id(), Frame.FailureCode.INTERNAL, "the request failed; see the log of " + localNode.node());
        }
    }

    private Optional<PeerMessage> callHandlers(NodeId sender, PeerMessage message) {
        for (PeerHandler handler : handlers) {
            Optional<PeerMessage> response = handler.handle(sender, message);
            if (response.isPresent()) {
                return response;
            }
        }
        return Optional.empty();
    }

    private void send(FrameChannel channel, FrameWriter writer, Frame frame) {
        try {
            if (!writer.offer(codec.encode(frame))) {
                LOG.atWarning().log("connection closed: the peer does not read its responses");
                channel.close();
            }
        } catch (MalformedFrameException e) {
            LOG.atSevere().withCause(e).log("response could not be encoded");
            channel.close();
        }
    }

    /** Sends the peer the reason why its connection is closed. */
    private void reject(FrameChannel channel, FrameWriter writer, Frame.FailureCode code, String detail) {
        Frame failure = new Frame.Failure(Frame.Failure.CONNECTION, code, detail);
        if (writer != null) {
            send(channel, writer, failure);
            writer.finish(limits.handshakeTimeout());
            return;
        }
        try {
            channel.write(failure);
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("reason for closing the connection could not be sent");
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.atFine().withCause(e).log("refused connection could not be closed");
        }
    }
}
