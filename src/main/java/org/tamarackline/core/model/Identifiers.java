package org.tamarackline.core.model;

import java.util.regex.Pattern;

/** Validates identifiers received from callers, operators and the platform. */
public final class Identifiers {

    /** Maximum length of an identifier, in characters. Limited because keys of table rows contain several identifiers. */
    public static final int MAX_LENGTH = 128;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9 ._:-]*");

    private Identifiers() {}

    /** Returns whether {@code value} may be used as an identifier. */
    public static boolean isValid(String value) {
        return value != null
                && value.length() <= MAX_LENGTH
                && ALLOWED.matcher(value).matches();
    }

    /**
     * Checks an identifier.
     *
     * @throws IllegalArgumentException if {@code value} is null, too long or contains a character that is not allowed
     */
    static void check(String label, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException("%s \"%s\" is not valid: use 1 to %d letters, digits, spaces or ._:-,"
                            .formatted(label, value, MAX_LENGTH)
                    + " starting with a letter or digit");
        }
    }
}
