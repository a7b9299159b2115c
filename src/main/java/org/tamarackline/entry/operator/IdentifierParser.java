package org.tamarackline.entry.operator;

import java.util.function.Function;

/** Static helpers for names in the path of a request. */
final class IdentifierParser {

    private IdentifierParser() {}

    /** Returns the name, or refuses it if it is not an identifier. */
    static <T> T parse(Function<String, T> constructor, String text) throws OperatorException {
        try {
            return constructor.apply(text);
        } catch (IllegalArgumentException e) {
            throw new OperatorException(OperatorErrorCode.INVALID, e.getMessage());
        }
    }
}
