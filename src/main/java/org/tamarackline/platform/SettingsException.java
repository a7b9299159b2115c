package org.tamarackline.platform;

/** The platform's settings file is missing something or cannot be read. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }

    SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
