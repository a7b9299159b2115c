package org.tamarackline.core.usage;

import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/** Is told of the work of quick requests. */
@FunctionalInterface
public interface RequestUsageRecorder {

    /** Counts an attempt of a request that took {@code durationMs}. */
    void recordRequest(ServiceName service, TeamName team, long durationMs, AttemptOutcome outcome);
}
