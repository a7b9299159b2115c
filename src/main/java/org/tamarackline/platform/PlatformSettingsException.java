package org.tamarackline.platform;

/** The platform's settings file is missing something or cannot be read. */
public final class PlatformSettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    PlatformSettingsException(String message) {
        super(message);
    }

    PlatformSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
