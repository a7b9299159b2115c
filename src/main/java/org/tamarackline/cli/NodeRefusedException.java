package org.tamarackline.cli;

/** A node refused an operator's request. */
final class NodeRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    NodeRefusedException(String code, String detail) {
        super("%s: %s".formatted(code, detail));
    }
}
