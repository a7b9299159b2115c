package org.tamarackline.peer;

import java.io.IOException;

/** Thrown if the peer fails the handshake: wrong protocol version, node, key or frame. */
final class HandshakeException extends IOException {

    private static final long serialVersionUID = 1L;

    HandshakeException(String message) {
        super(message);
    }
}
