package org.tamarackline.peer;

import java.io.IOException;

/** A frame that is too long or not a valid message; the connection cannot be used any further. */
final class MalformedFrameException extends IOException {

    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
