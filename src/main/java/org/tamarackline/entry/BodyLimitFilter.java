package org.tamarackline.entry;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.container.PreMatching;
import jakarta.ws.rs.core.HttpHeaders;

/**
 * Refuses request bodies above a limit: at once if the Content-Length exceeds it, otherwise by a {@link
 * BodyTooLargeException} while the body is read.
 */
@PreMatching
final class BodyLimitFilter implements ContainerRequestFilter {

    private final long limitBytes;

    BodyLimitFilter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    @Override
    public void filter(ContainerRequestContext request) {
        if (declaredLengthBytes(request) > limitBytes) {
            String detail = "the body has more than %d bytes; send a smaller body".formatted(limitBytes);
            request.abortWith(new ErrorResponse(ErrorCode.BODY_TOO_LARGE, detail, Executed.NO).toResponse());
            return;
        }
        request.setEntityStream(new LimitedStream(request.getEntityStream(), limitBytes));
    }

    private static long declaredLengthBytes(ContainerRequestContext request) {
        String contentLength = request.getHeaderString(HttpHeaders.CONTENT_LENGTH);
        try {
            return contentLength == null ? 0 : Long.parseLong(contentLength);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Throws {@link BodyTooLargeException} after more bytes than the limit were read. */
    private static final class LimitedStream extends FilterInputStream {

        private final long limitBytes;
        private long bytesRead;

        LimitedStream(InputStream source, long limitBytes) {
            super(source);
            this.limitBytes = limitBytes;
        }

        @Override
        public int read() throws IOException {
            int value = super.read();
            countBytes(value < 0 ? 0 : 1);
            return value;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int count = super.read(buffer, offset, length);
            countBytes(Math.max(count, 0));
            return count;
        }

        private void countBytes(int bytes) throws BodyTooLargeException {
            bytesRead += bytes;
            if (bytesRead > limitBytes) {
                throw new BodyTooLargeException(limitBytes);
            }
        }
    }
}
