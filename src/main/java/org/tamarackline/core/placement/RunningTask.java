package org.tamarackline.core.placement;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;

/**
 * A task on a worker, as placement and eviction see it.
 *
 * @param task task
 * @param size resources that it occupies
 * @param profile profile of the task
 * @param unsavedWorkMs work that is in no checkpoint and that a failed eviction would lose, in milliseconds
 * @param evictable whether it may be evicted: it is running, has no pending change or command and was not evicted recently
 */
public record RunningTask(TaskId task, Resources size, Profile profile, long unsavedWorkMs, boolean evictable) {}
