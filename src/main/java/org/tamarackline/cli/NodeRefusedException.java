package org.tamarackline.cli;

/** Thrown if a node refuses an operator's request. */
final class NodeRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    NodeRefusedException(String code, String detail) {
        super("%s: %s".formatted(code, detail));
    }
}
