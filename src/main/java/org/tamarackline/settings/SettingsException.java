package org.tamarackline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a settings file is not valid; lists all violations. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsViolation> violations;

    /** Creates the exception for the violations found in the file named {@code source}. */
    public SettingsException(String source, List<SettingsViolation> violations) {
        super(message(source, violations));
        this.violations = List.copyOf(violations);
    }

    /** Returns the violations in the order in which they were found. */
    public List<SettingsViolation> violations() {
        return violations;
    }

    private static String message(String source, List<SettingsViolation> violations) {
        return violations.stream()
                .map(violation -> "%s: %s".formatted(source, violation.describe()))
                .collect(Collectors.joining(System.lineSeparator()));
    }
}
