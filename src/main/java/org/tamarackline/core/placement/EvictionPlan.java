package org.tamarackline.core.placement;

import java.util.List;

import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/**
 * The tasks to throttle and to evict on one worker.
 *
 * @param worker worker of the tasks
 * @param throttled tasks to throttle
 * @param evicted tasks to checkpoint and stop
 */
public record EvictionPlan(WorkerId worker, List<TaskId> throttled, List<TaskId> evicted) {

    /** Creates a plan that later changes of the arguments do not affect. */
    public EvictionPlan {
        throttled = List.copyOf(throttled);
        evicted = List.copyOf(evicted);
    }
}
