package org.tamarackline.entry.proxy;

import jakarta.servlet.http.HttpServletRequest;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The connection of a caller, which can be broken in the middle of an answer. */
final class CallerConnection {

    private final HttpServletRequest request;

    CallerConnection(HttpServletRequest request) {
        this.request = request;
    }

    /** Breaks the connection, so that the caller cannot take a part of the answer for the whole. */
    void abort() {
        ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
