package org.tamarackline.core.task;

import org.tamarackline.core.placement.EvictionPlan;

/** Takes room from running tasks. */
final class Evictions {

    private static final int THROTTLED_PERCENT = 50;

    private final RackState state;
    private final PendingChanges pendingChanges;

    Evictions(PendingChanges pendingChanges) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
    }

    /** Throttles and evicts the tasks that the plan names. */
    void apply(EvictionPlan plan) {
        plan.throttled().stream()
                .flatMap(task -> state.task(task).stream())
                .forEach(entry -> entry.targetThrottlePercent = THROTTLED_PERCENT);
        plan.evicted().stream().flatMap(task -> state.task(task).stream()).forEach(this::beginEviction);
    }

    /** Begins the eviction of a task. */
    void beginEviction(TaskEntry entry) {
        pendingChanges.propose(entry, new TaskEvent.EvictionBegun(), TaskEntry.FollowUp.NONE);
    }
}
