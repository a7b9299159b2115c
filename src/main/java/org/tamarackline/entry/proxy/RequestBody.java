package org.tamarackline.entry.proxy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;

/**
 * The body of a caller's request, which is streamed to the upstream or sent from a buffer.
 *
 * <p>A body can be sent again only if it is empty or fully buffered. Confined to the thread of its request.
 */
public final class RequestBody {

    /** Largest body that is buffered to be sent again, and largest prefix that the digest of a request covers, in bytes. */
    public static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** The length of a body in chunked transfer encoding. */
    public static final long UNKNOWN_LENGTH = -1;

    private final InputStream remainder;
    private final long length;
    private byte[] buffered = {};
    private boolean fullyBuffered;
    private boolean streamed;

    /**
     * Creates the body.
     *
     * @param stream bytes as they arrive from the caller
     * @param length number of bytes, 0 for none, {@link #UNKNOWN_LENGTH} for chunked transfer encoding
     */
    public RequestBody(InputStream stream, long length) {
        this.remainder = stream;
        this.length = length;
        this.fullyBuffered = length == 0;
    }

    /** Returns the number of bytes or {@link #UNKNOWN_LENGTH}. */
    public long length() {
        return length;
    }

    /** Buffers up to {@link #MAX_BUFFERED_BYTES} from the start of the body and returns them. */
    public byte[] bufferPrefix() throws IOException {
        if (!fullyBuffered && buffered.length == 0) {
            buffered = remainder.readNBytes(MAX_BUFFERED_BYTES);
            fullyBuffered = buffered.length < MAX_BUFFERED_BYTES || buffered.length == length;
        }
        return buffered.clone();
    }

    /** Buffers the whole body, so that it can be sent again, if its declared length is small enough. */
    public void bufferIfSmall() throws IOException {
        if (length > 0 && length <= MAX_BUFFERED_BYTES) {
            bufferPrefix();
        }
    }

    /** Returns whether the body can be sent now: it is fully buffered or was not streamed before. */
    public boolean canBeSent() {
        return fullyBuffered || !streamed;
    }

    /** Returns whether all bytes are in memory, so that nothing more is read from the caller. */
    public boolean isFullyBuffered() {
        return fullyBuffered;
    }

    /** Returns whether the body has no bytes. */
    public boolean isEmpty() {
        return length == 0;
    }

    /** Returns a stream of the whole body. */
    public InputStream open() {
        InputStream prefix = new ByteArrayInputStream(buffered);
        if (fullyBuffered) {
            return prefix;
        }
        streamed = true;
        return buffered.length == 0 ? remainder : new SequenceInputStream(prefix, remainder);
    }
}
