package org.tamarackline.entry.operator;

/** Static helpers for bodies of requests. */
final class Bodies {

    private Bodies() {}

    /** Returns {@code body}, or refuses the request if it has none. */
    static <T> T required(T body) throws OperatorException {
        if (body == null) {
            throw new OperatorException(OperatorErrorCode.INVALID, "the request needs a JSON body");
        }
        return body;
    }
}
