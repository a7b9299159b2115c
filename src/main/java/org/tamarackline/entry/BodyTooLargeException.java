package org.tamarackline.entry;

import java.io.IOException;

/** Thrown while a request body is read if it is larger than allowed. */
public final class BodyTooLargeException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception for a body above {@code limitBytes}. */
    public BodyTooLargeException(long limitBytes) {
        super("the body has more than %d bytes".formatted(limitBytes));
    }
}
