package org.tamarackline.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;

/** Computes digests of requests, by which a reused idempotency key is detected. */
public final class RequestDigests {

    private RequestDigests() {}

    /**
     * Returns the digest of a request.
     *
     * @param target path and query
     * @param bodyPrefix start of the body; the rest is streamed and not part of the digest
     * @param bodyLength declared length of the body, negative if unknown
     */
    public static String digest(String method, String target, byte[] bodyPrefix, long bodyLength) {
        MessageDigest sha256 = sha256();
        addText(sha256, method);
        addText(sha256, target);
        sha256.update(Longs.toByteArray(bodyLength));
        return HexFormat.of().formatHex(sha256.digest(bodyPrefix));
    }

    /** Adds the length before the text, so that two texts differ from two others with the same concatenation. */
    private static void addText(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(Ints.toByteArray(bytes.length));
        digest.update(bytes);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
