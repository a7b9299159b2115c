package org.tamarackline.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;

/** The platform's list of runners, which lags. */
public interface PlatformRunnerDirectory {

    /** Reads the list; the result, empty if it could not be read, arrives on the event loop. */
    void list(Consumer<Optional<List<RunnerDescriptor>>> callback);
}
