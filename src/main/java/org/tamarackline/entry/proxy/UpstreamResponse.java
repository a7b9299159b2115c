package org.tamarackline.entry.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/**
 * A runner's response whose headers have arrived and whose body is read as a stream.
 *
 * <p>Closing it before the end of the body closes the connection; after the end the connection is kept for reuse.
 */
public interface UpstreamResponse extends Closeable {

    /** Returns the HTTP status. */
    int status();

    /** Returns the headers as received. */
    List<HeaderField> headers();

    /** Returns the declared length of the body in bytes, negative if it is not declared. */
    long bodyLength();

    /** Closes the connection at {@code deadlineNanos} if the body has not been read by then. */
    void setAbortDeadline(long deadlineNanos);

    /** Returns whether the connection was closed because the abort deadline passed. */
    boolean isAborted();

    /** Returns the body; reading fails with an {@link IOException} if the runner fails before its end. */
    InputStream body() throws IOException;
}
