package org.tamarackline.standin;

/** Handles the HTTP requests to a stand-in; each call runs on a virtual thread of its own. */
@FunctionalInterface
public interface StandinHandler {

    /**
     * Responds to the request, closes its connection, or leaves it open without a response.
     *
     * @throws IllegalArgumentException if the request is malformed; the response has status 400
     * @throws Exception on any other failure; the response has status 500
     */
    void handle(StandinExchange exchange) throws Exception;
}
