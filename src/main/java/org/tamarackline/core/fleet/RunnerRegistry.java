package org.tamarackline.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The runners of a leader by identifier. Starts without a response outlive the removal of their runner, which may come back
 * under its identifier while they are on their way.
 */
final class RunnerRegistry {

    private final Map<String, FleetRunner> runners = new LinkedHashMap<>();
    private final Map<String, UnansweredStarts> startsOfRemovedRunners = new HashMap<>();

    /** Returns the runner of a directory entry, which is created if there is none. */
    FleetRunner findOrCreate(RunnerDescriptor descriptor) {
        return runners.computeIfAbsent(descriptor.id(), id -> {
            UnansweredStarts starts = startsOfRemovedRunners.remove(id);
            return new FleetRunner(descriptor, starts != null ? starts : new UnansweredStarts());
        });
    }

    /** Returns a runner, null if there is none. */
    FleetRunner find(String id) {
        return runners.get(id);
    }

    void remove(FleetRunner runner, long nowNanos) {
        startsOfRemovedRunners.values().removeIf(starts -> !starts.anyPossible(nowNanos));
        runners.remove(runner.id());
        if (runner.unansweredStarts.anyPossible(nowNanos)) {
            startsOfRemovedRunners.put(runner.id(), runner.unansweredStarts);
        }
    }

    /** Returns a live view of all runners. */
    Collection<FleetRunner> all() {
        return runners.values();
    }
}
