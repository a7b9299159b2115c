package org.tamarackline.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server of a stand-in, which passes each request to a {@link StandinHandler}.
 *
 * <p>Paths stay percent-encoded, so that a key that contains a slash remains one segment. Connections have no idle
 * timeout, so that a silent stand-in keeps them open.
 */
public final class StandinServer implements AutoCloseable {

    private static final int MAX_PLATFORM_THREADS = 16;
    private static final int MIN_PLATFORM_THREADS = 4;
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_ERROR = 500;

    private final Server server;
    private final ServerConnector connector;

    private StandinServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @throws Exception if the address cannot be bound
     */
    public static StandinServer start(InetSocketAddress address, StandinHandler handler) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_PLATFORM_THREADS, MIN_PLATFORM_THREADS);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(0);
        server.addConnector(connector);
        server.setHandler(new ExchangeDispatcher(handler));
        server.setStopTimeout(0);
        server.start();
        return new StandinServer(server, connector);
    }

    /** Returns the IP address and port that the server listens on. */
    public String address() {
        return connector.getHost() + ":" + connector.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        try {
            server.stop();
        } catch (Exception failure) {
            throw new IOException("HTTP server did not stop cleanly", failure);
        }
    }

    private static final class ExchangeDispatcher extends Handler.Abstract {

        private final StandinHandler handler;

        ExchangeDispatcher(StandinHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            StandinExchange exchange = new StandinExchange(request, response, callback);
            try {
                handler.handle(exchange);
            } catch (IllegalArgumentException malformed) {
                exchange.respondJson(BAD_REQUEST, StandinFailure.notApplied(malformed.getMessage()));
            } catch (Exception failure) {
                exchange.respondJson(INTERNAL_ERROR, new StandinFailure(failure.toString(), null));
            }
            return true;
        }
    }
}
