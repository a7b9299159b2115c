package org.tamarackline.http;

import java.util.Map;

/** A request that was received completely and waits for its response. */
public interface HttpExchange {

    /** Returns an identifier of the connection, which no other connection to this process has. */
    String connectionId();

    /** Returns the HTTP method in upper case. */
    String method();

    /** Returns the value of the Host header without the port, empty if there is none. */
    String host();

    /** Returns the path without the query. */
    String path();

    /** Returns the query parameters; if a name occurs several times, its last value. */
    Map<String, String> query();

    /** Returns the content, empty if there is none. */
    byte[] body();

    /** Returns the value of a header, null if it is absent. */
    String header(String name);

    /**
     * Sends the response. May be called on any thread, but only once.
     *
     * @param body JSON content, empty for none
     */
    void respond(int status, Map<String, String> headers, byte[] body);
}
