package org.tamarackline.entry.operator;

/** Static helpers for bodies of requests. */
final class RequestBodies {

    private RequestBodies() {}

    /** Returns {@code body}, or refuses the request if it has none. */
    static <T> T require(T body) throws OperatorException {
        if (body == null) {
            throw new OperatorException(OperatorErrorCode.INVALID, "the request needs a JSON body");
        }
        return body;
    }
}
