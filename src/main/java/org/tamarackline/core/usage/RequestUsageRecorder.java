package org.tamarackline.core.usage;

import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/** Records the usage of latency-critical requests. */
@FunctionalInterface
public interface RequestUsageRecorder {

    /** Records an attempt of a request that took {@code durationMs}. */
    void recordRequest(ServiceName service, TeamName team, long durationMs, AttemptOutcome outcome);
}
