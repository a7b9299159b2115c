package org.tamarackline.core.task;

import org.tamarackline.core.placement.EvictionPlan;

/** Carries out eviction plans: throttles tasks and begins their eviction. */
final class Evictions {

    private static final int THROTTLED_PERCENT = 50;

    private final RackState state;
    private final PendingChanges pendingChanges;

    Evictions(PendingChanges pendingChanges) {
        this.state = pendingChanges.state();
        this.pendingChanges = pendingChanges;
    }

    /** Throttles and evicts the tasks of the plan. */
    void apply(EvictionPlan plan) {
        plan.throttled().stream()
                .flatMap(task -> state.task(task).stream())
                .forEach(entry -> entry.targetSpeedPercent = THROTTLED_PERCENT);
        plan.evicted().stream().flatMap(task -> state.task(task).stream()).forEach(this::beginEviction);
    }

    /** Begins the eviction of a task, which continues with a checkpoint and a stop once the row change is committed. */
    void beginEviction(TaskEntry entry) {
        pendingChanges.propose(entry, new TaskEvent.EvictionBegun(), TaskEntry.FollowUp.NONE);
    }
}
