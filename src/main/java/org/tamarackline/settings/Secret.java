package org.tamarackline.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreType;

/** A credential that does not show its value when it is printed or written as JSON. */
@JsonIgnoreType
public final class Secret {

    private final String value;

    /** Creates a secret. */
    @JsonCreator
    public Secret(String value) {
        this.value = value;
    }

    /** Returns the credential itself; the caller must neither log nor dump it. */
    public String reveal() {
        return value;
    }

    /** Compares in constant time, so that response times do not tell how much of a guess was right. */
    public boolean matches(String candidate) {
        return MessageDigest.isEqual(
                value.getBytes(StandardCharsets.UTF_8), candidate.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "***";
    }
}
