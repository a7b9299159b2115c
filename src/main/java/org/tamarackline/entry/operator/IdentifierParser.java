package org.tamarackline.entry.operator;

import java.util.function.Function;

/** Static helpers that parse the identifiers in operators' requests. */
final class IdentifierParser {

    private IdentifierParser() {}

    /** Returns the identifier that {@code constructor} creates, or throws an exception if {@code text} is not valid. */
    static <T> T parse(Function<String, T> constructor, String text) throws OperatorException {
        try {
            return constructor.apply(text);
        } catch (IllegalArgumentException e) {
            throw new OperatorException(OperatorErrorCode.INVALID, e.getMessage());
        }
    }
}
