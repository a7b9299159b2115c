package org.tamarackline.core.task;

import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.PlacementPolicy;

/**
 * The objects that all placement passes of a rack share.
 *
 * @param pendingChanges row changes that wait for the next commit
 * @param profiles profiles and teams in force
 * @param policy chooses the worker of a task
 * @param evictionPlanner chooses the tasks to throttle or evict
 * @param workerViews views of the workers of the rack
 * @param reservations capacity reserved for latency-critical tasks
 * @param evictions carries out eviction plans
 */
record PlacementContext(
        PendingChanges pendingChanges,
        ConfiguredProfiles profiles,
        PlacementPolicy policy,
        EvictionPlanner evictionPlanner,
        WorkerViews workerViews,
        Reservations reservations,
        Evictions evictions) {}
