package org.tamarackline.core.placement;

import java.util.List;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.WorkerId;

/**
 * A worker with its load, as placement and eviction see it.
 *
 * @param id identifier of the worker
 * @param capacity capacity that the worker reported last
 * @param occupied capacity occupied by tasks that are not known to have ended
 * @param running tasks on the worker
 */
public record WorkerView(WorkerId id, Resources capacity, Resources occupied, List<RunningTask> running) {

    /** Creates a view that later changes of the arguments do not affect. */
    public WorkerView {
        running = List.copyOf(running);
    }

    /** Returns the unoccupied capacity; an amount may be negative after the capacity shrank. */
    public Resources free() {
        return capacity.minus(occupied);
    }
}
