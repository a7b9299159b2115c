package org.tamarackline.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Connector of one address that can stop reading while it still writes responses.
 *
 * <p>Once reading has stopped, each connection behaves as if its client had sent nothing more: an idle connection closes,
 * and a connection whose request was read completely closes after its response. All reads go through
 * {@link ConnectionEndPoint#fill}, so no request is read that would not be passed on.
 */
final class DrainableConnector extends ServerConnector {

    private static final Duration DEREGISTRATION_TIMEOUT = Duration.ofSeconds(1);

    private final InetSocketAddress address;
    private final Consumer<HttpExchange> handler;

    /** The open connections. Those that the superclass knows lack a connection that was accepted but not yet opened. */
    private final Set<ConnectionEndPoint> connections = ConcurrentHashMap.newKeySet();

    private volatile boolean readingStopped;

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
    }

    InetSocketAddress address() {
        return address;
    }

    Consumer<HttpExchange> handler() {
        return handler;
    }

    /**
     * Closes the address to new connections and reads nothing more from open ones.
     *
     * @throws IOException if the address could not be closed; nothing is read from its connections
     */
    void stopReading() throws IOException, InterruptedException {
        readingStopped = true;
        closeIdleConnections();
        setAccepting(false);
        if (getTransport() instanceof ServerSocketChannel channel) {
            channel.close();
            awaitDeregistration();
        }
    }

    /** Waits until the selector has released the closed channel; until then clients can still connect. */
    private void awaitDeregistration() throws IOException, InterruptedException {
        ManagedSelector selector = getSelectorManager().getBean(ManagedSelector.class);
        CountDownLatch deregistered = new CountDownLatch(1);
        // Channels are deregistered by the selection that follows the first update.
        selector.submit(first -> selector.submit(second -> deregistered.countDown()));
        if (!deregistered.await(DEREGISTRATION_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new IOException("the selector did not release the channel within %d ms"
                    .formatted(DEREGISTRATION_TIMEOUT.toMillis()));
        }
    }

    /**
     * Closes the connections that wait for a request. Has to be called again later, because a connection may begin to wait
     * at any time after its response.
     */
    void closeIdleConnections() {
        // Wakes each waiting connection, which then reads the end of its input.
        connections.forEach(connection -> connection.getFillInterest().fillable());
    }

    boolean hasConnections() {
        return !connections.isEmpty();
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        ConnectionEndPoint connection = new ConnectionEndPoint(channel, selector, key);
        connection.setIdleTimeout(getIdleTimeout());
        connections.add(connection);
        return connection;
    }

    @Override
    protected void onEndPointOpened(EndPoint endPoint) {
        super.onEndPointOpened(endPoint);
        // An accepted connection may open after all others have closed, when closeIdleConnections is not called any
        // more.
        if (readingStopped) {
            endPoint.close();
        }
    }

    private final class ConnectionEndPoint extends SocketChannelEndPoint {

        ConnectionEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            super(channel, selector, key, DrainableConnector.this.getScheduler());
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            if (readingStopped) {
                shutdownInput();
                return -1;
            }
            return super.fill(buffer);
        }

        @Override
        public void onClose(Throwable cause) {
            super.onClose(cause);
            connections.remove(this);
        }
    }
}
