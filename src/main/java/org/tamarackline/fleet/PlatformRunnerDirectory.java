package org.tamarackline.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;

/** Directory of the platform's runners. It lags behind the actual state. */
public interface PlatformRunnerDirectory {

    /**
     * Reads the directory; {@code callback} receives the result on the event loop, empty if the directory could not be
     * read.
     */
    void list(Consumer<Optional<List<RunnerDescriptor>>> callback);

    /**
     * Reads as {@link #list} does, but over connections that are opened for it, because connections that are already open
     * may have gone silent. A directory without connections reads as {@link #list} does.
     */
    default void listOnNewConnections(Consumer<Optional<List<RunnerDescriptor>>> callback) {
        list(callback);
    }
}
