package org.tamarackline.peer;

import java.io.IOException;

/**
 * Thrown if a frame or message is too long or cannot be encoded or decoded. A connection on which a malformed frame
 * arrives is closed.
 */
final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
