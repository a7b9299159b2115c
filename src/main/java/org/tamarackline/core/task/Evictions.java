package org.tamarackline.core.task;

import org.tamarackline.core.placement.EvictionPlan;

/** Takes room from running tasks. */
final class Evictions {

    private static final int THROTTLED_PERCENT = 50;

    private final RackState state;
    private final Proposals proposals;

    Evictions(Proposals proposals) {
        this.state = proposals.state();
        this.proposals = proposals;
    }

    /** Throttles and evicts the tasks that the plan names. */
    void apply(EvictionPlan plan) {
        plan.throttled().stream()
                .flatMap(task -> state.task(task).stream())
                .forEach(entry -> entry.wantedThrottlePercent = THROTTLED_PERCENT);
        plan.evicted().stream().flatMap(task -> state.task(task).stream()).forEach(this::beginEviction);
    }

    /** Begins the eviction of a task. */
    void beginEviction(TaskEntry entry) {
        proposals.propose(entry, new TaskEvent.EvictionBegun(), TaskEntry.Aftermath.NOTHING);
    }
}
