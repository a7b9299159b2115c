package org.tamarackline.load;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import com.google.common.flogger.FluentLogger;

/**
 * Reserves ports of the loopback address for servers in other processes, whose ports must be known before they start.
 *
 * <p>Each port stays bound by a socket that does not listen. Linux then gives the port neither to a socket that asks for any
 * free port nor to an outgoing connection, but a server can bind it and listen, also repeatedly, if it sets
 * {@code SO_REUSEADDR} as Java's servers do by default.
 */
public final class PortReservations implements AutoCloseable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final List<Socket> sockets = new ArrayList<>();

    /** Reserves a port until {@link #close} and returns it. */
    public synchronized int reserve() throws IOException {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket.getLocalPort();
    }

    @Override
    public synchronized void close() {
        for (Socket socket : sockets) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOG.atWarning().withCause(e).log("reserved port %d could not be released", socket.getLocalPort());
        }
    }
}
