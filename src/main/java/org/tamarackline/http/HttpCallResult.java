package org.tamarackline.http;

/** Result of a call of {@link AsyncHttpClient}. */
public sealed interface HttpCallResult {

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param body content, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Response(int status, byte[] body) implements HttpCallResult {}

    /**
     * The call ended without a complete response.
     *
     * @param neverSent whether the server definitely did not receive the request
     * @param cause description of the failure
     */
    record NoResponse(boolean neverSent, String cause) implements HttpCallResult {}
}
