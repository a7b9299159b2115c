package org.tamarackline.platform;

/** Thrown if the settings file that the platform writes cannot be read, or a setting is missing or not valid. */
public final class PlatformSettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    PlatformSettingsException(String message) {
        super(message);
    }

    PlatformSettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
