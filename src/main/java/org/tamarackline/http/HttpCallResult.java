package org.tamarackline.http;

/** What became of an HTTP call. */
public sealed interface HttpCallResult {

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param body content, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) implements HttpCallResult {}

    /**
     * No whole answer.
     *
     * @param neverSent whether the server certainly did not receive the request
     * @param cause what went wrong
     */
    record NoResponse(boolean neverSent, String cause) implements HttpCallResult {}
}
