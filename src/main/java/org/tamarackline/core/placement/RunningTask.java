package org.tamarackline.core.placement;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/**
 * A task that runs on a worker.
 *
 * @param task task
 * @param size capacity that it takes up
 * @param profile profile of the task
 * @param unsavedWorkMs work that an eviction would put at risk, in milliseconds
 * @param evictable whether it runs, nothing else is being done to it and it was not evicted recently
 */
public record RunningTask(TaskId task, Resources size, Profile profile, long unsavedWorkMs, boolean evictable) {}
