package org.tamarackline.core.placement;

import java.util.Set;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/**
 * A task that waits for a worker.
 *
 * @param task task
 * @param size larger of the declared size and the measured one
 * @param profile profile of the task
 * @param excludedWorkers workers that must not get the task
 */
public record PlacementRequest(TaskId task, Resources size, Profile profile, Set<WorkerId> excludedWorkers) {}
