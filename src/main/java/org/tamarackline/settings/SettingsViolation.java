package org.tamarackline.settings;

import java.util.OptionalInt;

/**
 * One reason why a settings file is not valid.
 *
 * @param key key with its table, such as {@code cluster.hold_time_ms}; empty if the file is not valid TOML
 * @param value value in the file, masked for credentials; empty if there is none
 * @param message what is wrong or what is allowed instead
 * @param line line in the file, counted from 1; empty if the key is not in the file
 */
public record SettingsViolation(String key, String value, String message, OptionalInt line) {

    /** Returns the violation as one line for the operator. */
    public String describe() {
        String location = line.isPresent() ? "line %d: ".formatted(line.getAsInt()) : "";
        String subject = key.isEmpty() ? "" : key;
        String found = value.isEmpty() ? "" : " = " + value;
        String separator = subject.isEmpty() && found.isEmpty() ? "" : ": ";
        return location + subject + found + separator + message;
    }
}
