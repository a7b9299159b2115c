package org.tamarackline.standin;

/** Handles one request of a stand-in; each request runs on its own virtual thread. */
@FunctionalInterface
public interface StandinHandler {

    /**
     * Answers the request, drops it, or leaves it open.
     *
     * @throws IllegalArgumentException if the request is malformed; it is answered with status 400
     * @throws Exception on any other failure, which is answered with status 500
     */
    void handle(StandinExchange exchange) throws Exception;
}
