package org.tamarackline.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreType;

/** A credential whose value is neither printed by {@code toString} nor written as JSON. */
@JsonIgnoreType
public final class Secret {

    private final String value;

    /** Creates a secret with this value. */
    @JsonCreator
    public Secret(String value) {
        this.value = value;
    }

    /** Returns the value, which the caller must neither log nor dump. */
    public String reveal() {
        return value;
    }

    /** Compares in constant time, so that response times do not reveal how much of a guess was right. */
    public boolean matches(String candidate) {
        return MessageDigest.isEqual(
                value.getBytes(StandardCharsets.UTF_8), candidate.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return "***";
    }
}
