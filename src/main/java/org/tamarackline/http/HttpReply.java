package org.tamarackline.http;

/** What became of an HTTP call. */
public sealed interface HttpReply {

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param body content, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, byte[] body) implements HttpReply {}

    /**
     * No whole answer.
     *
     * @param neverSent whether the server certainly did not receive the request
     * @param cause what went wrong
     */
    record NoAnswer(boolean neverSent, String cause) implements HttpReply {}
}
