package org.tamarackline.store;

import java.util.Optional;

/** The platform's object store. Every call returns or fails within the configured request timeout. */
public interface ObjectStore {

    /**
     * Returns the object at {@code key}.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    Optional<byte[]> get(String key) throws PlatformUnavailableException;

    /**
     * Writes an object. Writing the same content again is harmless.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time; the object may have been written
     */
    void put(String key, byte[] content) throws PlatformUnavailableException;

    /**
     * Deletes an object, which may be absent.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    void delete(String key) throws PlatformUnavailableException;
}
