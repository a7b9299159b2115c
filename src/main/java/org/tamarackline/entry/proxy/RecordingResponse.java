package org.tamarackline.entry.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;

/**
 * A response that is recorded under its idempotency key while it is written to the caller.
 *
 * <p>A body that is small enough to be recorded is read to its end before the caller gets the first byte, so that a caller
 * that has disconnected gets the response when it repeats the request.
 */
final class RecordingResponse extends ForwardingResponse {

    /** Largest body that is recorded, in bytes. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    /** Largest size of the headers, in characters; a response with larger headers is not recorded because they do not fit a row. */
    private static final int MAX_HEADER_CHARS = 16 * 1024;

    private final IdempotencyStore store;
    private final IdempotencyStore.Claim claim;

    RecordingResponse(RoutedResponse response, IdempotencyStore store, IdempotencyStore.Claim claim) {
        super(response);
        this.store = store;
        this.claim = claim;
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        BufferingOutputStream buffering = new BufferingOutputStream(output);
        delegate().writeTo(buffering);
        boolean recordable = !buffering.passingThrough && headerChars() <= MAX_HEADER_CHARS;
        Optional<byte[]> body = recordable ? Optional.of(buffering.buffer.toByteArray()) : Optional.empty();
        store.recordResponse(claim, status(), Headers.forCaller(headers()), body);
        buffering.startPassingThrough();
    }

    private int headerChars() {
        return headers().stream()
                .mapToInt(field -> field.name().length() + field.value().length())
                .sum();
    }

    /** Buffers the body. Once the body is too large to be recorded, writes the buffer and passes all further bytes through. */
    private static final class BufferingOutputStream extends OutputStream {
        private final OutputStream output;
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private boolean passingThrough;

        BufferingOutputStream(OutputStream output) {
            this.output = output;
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            if (!passingThrough && buffer.size() + length > MAX_BODY_BYTES) {
                startPassingThrough();
            }
            if (passingThrough) {
                output.write(bytes, offset, length);
            } else {
                buffer.write(bytes, offset, length);
            }
        }

        @Override
        public void flush() throws IOException {
            if (passingThrough) {
                output.flush();
            }
        }

        void startPassingThrough() throws IOException {
            if (!passingThrough) {
                passingThrough = true;
                buffer.writeTo(output);
            }
        }
    }
}
