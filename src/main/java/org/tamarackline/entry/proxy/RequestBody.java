package org.tamarackline.entry.proxy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;

/**
 * The body of a caller's request, which is streamed to the upstream.
 *
 * <p>A body can be sent again only if it is absent or was kept as a whole. Confined to the thread of its request.
 */
public final class RequestBody {

    /** Largest body that is kept to be sent again, and largest prefix that the digest of a request covers, in bytes. */
    public static final int MAX_KEPT_BYTES = 64 * 1024;

    /** The length of a body that is sent in chunks. */
    public static final long UNKNOWN_LENGTH = -1;

    private final InputStream rest;
    private final long length;
    private byte[] kept = {};
    private boolean complete;
    private boolean streamed;

    /**
     * Creates the body.
     *
     * @param stream bytes as they arrive from the caller
     * @param length number of bytes, 0 for none, {@link #UNKNOWN_LENGTH} if the caller sends chunks
     */
    public RequestBody(InputStream stream, long length) {
        this.rest = stream;
        this.length = length;
        this.complete = length == 0;
    }

    /** Returns the number of bytes or {@link #UNKNOWN_LENGTH}. */
    public long length() {
        return length;
    }

    /** Reads up to {@link #MAX_KEPT_BYTES} ahead and returns them. */
    public byte[] keepPrefix() throws IOException {
        if (!complete && kept.length == 0) {
            kept = rest.readNBytes(MAX_KEPT_BYTES);
            complete = kept.length < MAX_KEPT_BYTES || kept.length == length;
        }
        return kept.clone();
    }

    /** Keeps the body so that it can be sent again, if its declared length allows that. */
    public void keepIfSmall() throws IOException {
        if (length > 0 && length <= MAX_KEPT_BYTES) {
            keepPrefix();
        }
    }

    /** Returns whether the body can be sent now: it is complete in memory or was not streamed before. */
    public boolean canBeSent() {
        return complete || !streamed;
    }

    /** Returns whether all bytes are in memory, so that nothing is read from the caller any more. */
    public boolean isInMemory() {
        return complete;
    }

    /** Returns whether there is nothing to send. */
    public boolean isEmpty() {
        return length == 0;
    }

    /** Returns the bytes to send. */
    public InputStream open() {
        InputStream start = new ByteArrayInputStream(kept);
        if (complete) {
            return start;
        }
        streamed = true;
        return kept.length == 0 ? rest : new SequenceInputStream(start, rest);
    }
}
