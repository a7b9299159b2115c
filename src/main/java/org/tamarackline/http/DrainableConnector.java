package org.tamarackline.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Connector of one address that can stop reading while it still writes responses.
 *
 * <p>Once reading has stopped, each connection behaves as if its client had sent nothing more than what has arrived: a
 * request that waits to be read is handled, an idle connection closes, and a connection whose request was read completely
 * closes after its response. All reads go through {@link ConnectionEndPoint#fill}, so no request is read that would not be
 * passed on.
 */
final class DrainableConnector extends ServerConnector {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);
    private static final int ACCEPT_QUEUE_SIZE = 512;

    private final InetSocketAddress address;
    private final Consumer<HttpExchange> handler;

    /** The open connections. Those that the superclass knows lack a connection that was accepted but not yet opened. */
    private final Set<ConnectionEndPoint> connections = ConcurrentHashMap.newKeySet();

    /** The channels that were accepted and are not yet a connection. */
    private final Set<SelectableChannel> accepted = ConcurrentHashMap.newKeySet();

    private final CountDownLatch addressReleased = new CountDownLatch(1);
    private volatile boolean readingStopped;
    private volatile boolean arrivedDiscarded;

    DrainableConnector(
            Server server,
            HttpConnectionFactory connectionFactory,
            InetSocketAddress address,
            Consumer<HttpExchange> handler) {
        super(server, null, null, null, 0, 1, connectionFactory);
        this.address = address;
        this.handler = handler;
        setHost(address.getHostString());
        setPort(address.getPort());
        setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        getSelectorManager().addEventListener(new AcceptedChannels());
    }

    InetSocketAddress address() {
        return address;
    }

    Consumer<HttpExchange> handler() {
        return handler;
    }

    /**
     * Closes the address to new connections and reads from open ones only what has arrived.
     *
     * @throws IOException if the address could not be closed yet
     */
    void stopReading() throws IOException, InterruptedException {
        readingStopped = true;
        closeIdleConnections();
        setAccepting(false);
        if (!(getTransport() instanceof ServerSocketChannel channel)) {
            addressReleased.countDown();
            return;
        }
        ManagedSelector selector = getSelectorManager().getBean(ManagedSelector.class);
        selector.submit(first -> {
            closeAddress(channel);
            // Closed channels are released by the selection that follows the update; until then clients can still
            // connect.
            selector.submit(second -> addressReleased.countDown());
        });
        if (!addressReleased.await(RELEASE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IOException(
                    "the selector did not release the channel within %d ms".formatted(RELEASE_TIMEOUT.toMillis()));
        }
    }

    /**
     * Closes the address, but first accepts the waiting connections, which would be reset otherwise.
     *
     * <p>Called on the selector's thread: Jetty closes a connection that it has just accepted if another thread closes the
     * address before it accepts the next one.
     */
    private void closeAddress(ServerSocketChannel channel) {
        try (channel) {
            acceptWaiting(channel);
        } catch (IOException failure) {
            LOGGER.atWarning().withCause(failure).log("failed to accept the last connections of %s", address);
        }
    }

    private void acceptWaiting(ServerSocketChannel channel) throws IOException {
        for (int i = 0; i < ACCEPT_QUEUE_SIZE; i++) {
            SocketChannel waiting = channel.accept();
            if (waiting == null) {
                return;
            }
            waiting.configureBlocking(false);
            configure(waiting.socket());
            getSelectorManager().accept(waiting);
        }
    }

    /** If reading has stopped, also reads no request any more that has arrived. */
    void discardArrived() {
        arrivedDiscarded = readingStopped;
    }

    /**
     * Closes the connections that wait for a request. Has to be called again later, because a connection may begin to wait
     * at any time after its response.
     */
    void closeIdleConnections() {
        // Wakes each waiting connection, which then reads the end of its input.
        connections.forEach(connection -> connection.getFillInterest().fillable());
    }

    /** Returns whether a connection is open or the address may still accept one. */
    boolean hasConnections() {
        return addressReleased.getCount() > 0 || !accepted.isEmpty() || !connections.isEmpty();
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        ConnectionEndPoint connection = new ConnectionEndPoint(channel, selector, key);
        connection.setIdleTimeout(getIdleTimeout());
        connections.add(connection);
        accepted.remove(channel);
        return connection;
    }

    private final class AcceptedChannels implements SelectorManager.AcceptListener {

        @Override
        public void onAccepting(SelectableChannel channel) {
            accepted.add(channel);
        }

        @Override
        public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
            accepted.remove(channel);
        }
    }

    private final class ConnectionEndPoint extends SocketChannelEndPoint {

        ConnectionEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            super(channel, selector, key, DrainableConnector.this.getScheduler());
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            int filled = arrivedDiscarded ? 0 : super.fill(buffer);
            if (filled == 0 && readingStopped) {
                shutdownInput();
                return -1;
            }
            return filled;
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            connections.remove(this);
        }
    }
}
