package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

import org.tamarackline.entry.Executed;

/** The answer to a quick request, which is written to the caller once. */
public interface RoutedResponse {

    /** Returns the HTTP status. */
    int status();

    /** Returns the end-to-end headers. */
    List<HeaderField> headers();

    /** Returns what the answer says about the execution. */
    Executed executed();

    /**
     * Writes the body and ends the use of the slot.
     *
     * @throws IOException if the runner died or the deadline passed before the end of the body, or the caller is gone; the
     *     caller's connection must be broken, so that a part is not taken for the whole
     */
    void writeTo(OutputStream output) throws IOException;

    /** Ends the use of the slot if the body was not written; harmless otherwise. */
    void discard();
}
