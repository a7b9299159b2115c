package org.tamarackline.entry.operator;

/** Static helpers for request bodies. */
final class RequestBodies {

    private RequestBodies() {}

    /** Returns {@code body}, or throws an exception if the request has none. */
    static <T> T require(T body) throws OperatorException {
        if (body == null) {
            throw new OperatorException(OperatorErrorCode.INVALID, "the request needs a JSON body");
        }
        return body;
    }
}
