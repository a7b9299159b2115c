package org.tamarackline.core.placement;

import java.util.Set;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/**
 * A waiting task for which a worker is to be chosen.
 *
 * @param task task
 * @param size required resources, the larger of the declared and the measured ones
 * @param profile profile of the task
 * @param excludedWorkers workers that must not be chosen
 */
public record PlacementRequest(TaskId task, Resources size, Profile profile, Set<WorkerId> excludedWorkers) {}
