package org.tamarackline.store;

import java.util.Optional;

/** The platform's object store. Each call returns or fails within the configured request timeout. */
public interface ObjectStore {

    /**
     * Returns the object at {@code key}.
     *
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    Optional<byte[]> get(String key) throws PlatformUnavailableException;

    /**
     * Writes an object. Repeating a write with the same content is harmless.
     *
     * @throws PlatformUnavailableException if the platform did not confirm the write in time; it may have been applied
     */
    void put(String key, byte[] content) throws PlatformUnavailableException;

    /**
     * Deletes an object if it exists.
     *
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    void delete(String key) throws PlatformUnavailableException;
}
