package org.tamarackline.http;

import java.util.Map;

/** A request that was read whole and waits for its answer. */
public interface HttpExchange {

    /** Returns the method in capitals. */
    String method();

    /** Returns the host of the request without its port, empty if there is none. */
    String host();

    /** Returns the path without the query. */
    String path();

    /** Returns the parameters of the query; of several with one name the last. */
    Map<String, String> query();

    /** Returns the content, empty if there is none. */
    byte[] body();

    /** Returns the value of a header, null if it is absent. */
    String header(String name);

    /**
     * Answers the request; called once, on any thread.
     *
     * @param body content as JSON, empty for none
     */
    void respond(int status, Map<String, String> headers, byte[] body);
}
