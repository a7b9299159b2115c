package org.tamarackline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file that cannot be used; names all its mistakes. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsViolation> violations;

    /** Creates the exception for the mistakes found in the file called {@code source}. */
    public SettingsException(String source, List<SettingsViolation> violations) {
        super(message(source, violations));
        this.violations = List.copyOf(violations);
    }

    /** Returns the mistakes in the order in which they were found. */
    public List<SettingsViolation> violations() {
        return violations;
    }

    private static String message(String source, List<SettingsViolation> violations) {
        return violations.stream()
                .map(violation -> "%s: %s".formatted(source, violation.describe()))
                .collect(Collectors.joining(System.lineSeparator()));
    }
}
