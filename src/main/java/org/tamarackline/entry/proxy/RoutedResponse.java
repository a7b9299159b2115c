package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

import org.tamarackline.entry.Executed;

/** The response to a latency-critical request. A response of a runner holds a slot until it is written or discarded. */
public interface RoutedResponse {

    /** Returns the HTTP status. */
    int status();

    /** Returns the end-to-end headers. */
    List<HeaderField> headers();

    /** Returns whether the request was executed, as far as the response shows. */
    Executed executed();

    /**
     * Writes the body and releases the slot.
     *
     * @throws IOException if the runner failed or the deadline passed before the end of the body, or the caller disconnected;
     *     the caller's connection must then be closed, so that a partial body is not taken for the whole
     */
    void writeTo(OutputStream output) throws IOException;

    /** Releases the slot if the body was not written; has no effect otherwise. */
    void discard();
}
