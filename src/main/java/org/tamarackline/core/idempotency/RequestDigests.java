package org.tamarackline.core.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Static helpers for digests of requests. */
public final class RequestDigests {

    private RequestDigests() {}

    /**
     * Returns the digest of a request.
     *
     * @param target path and query
     * @param bodyPrefix start of the body; the rest is streamed and not covered
     * @param bodyLength declared length of the body, negative if unknown
     */
    public static String digest(String method, String target, byte[] bodyPrefix, long bodyLength) {
        MessageDigest sha256 = sha256();
        addText(sha256, method);
        addText(sha256, target);
        sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(bodyLength).flip());
        return HexFormat.of().formatHex(sha256.digest(bodyPrefix));
    }

    /** The length in front keeps two texts from being taken for two others with the same concatenation. */
    private static void addText(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
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
