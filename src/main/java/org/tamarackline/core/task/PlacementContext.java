package org.tamarackline.core.task;

import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.PlacementPolicy;

/**
 * What the rounds of placement of a rack share.
 *
 * @param pendingChanges row changes that wait to be committed
 * @param profiles profiles and teams in force
 * @param policy choice of a worker
 * @param evictionPlanner choice of the tasks that make room
 * @param workerViews views of the workers
 * @param reservations room kept for urgent tasks
 * @param evictions changes that make room
 */
record PlacementContext(
        PendingChanges pendingChanges,
        ConfiguredProfiles profiles,
        PlacementPolicy policy,
        EvictionPlanner evictionPlanner,
        WorkerViews workerViews,
        Reservations reservations,
        Evictions evictions) {}
