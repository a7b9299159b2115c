package org.tamarackline.peer;

import java.io.IOException;

/** The peer failed the handshake. */
final class HandshakeException extends IOException {

    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }
}
