package org.tamarackline.core.ownership;

import java.nio.charset.StandardCharsets;

/** Computes hashes that are the same in every process and release, so that all nodes derive the same shards and owners. */
final class StableHashes {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHashes() {}

    /** Returns a 64-bit FNV-1a hash with a finalizer, which makes the high bits depend on the whole text. */
    static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte part : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (part & 0xff)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
