package org.tamarackline.entry.proxy;

import jakarta.servlet.http.HttpServletRequest;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The connection of a caller, which can be closed in the middle of a response. */
final class CallerConnection {

    private final HttpServletRequest request;

    CallerConnection(HttpServletRequest request) {
        this.request = request;
    }

    /** Closes the connection, so that the caller does not take a partial response for the whole. */
    void abort() {
        ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
