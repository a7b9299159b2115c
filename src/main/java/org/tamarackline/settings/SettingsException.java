package org.tamarackline.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A settings file that cannot be used; names all its mistakes. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsMistake> mistakes;

    /** Creates the exception for the mistakes found in the file called {@code source}. */
    public SettingsException(String source, List<SettingsMistake> mistakes) {
        super(message(source, mistakes));
        this.mistakes = List.copyOf(mistakes);
    }

    /** Returns the mistakes in the order in which they were found. */
    public List<SettingsMistake> mistakes() {
        return mistakes;
    }

    private static String message(String source, List<SettingsMistake> mistakes) {
        return mistakes.stream()
                .map(mistake -> "%s: %s".formatted(source, mistake.describe()))
                .collect(Collectors.joining(System.lineSeparator()));
    }
}
