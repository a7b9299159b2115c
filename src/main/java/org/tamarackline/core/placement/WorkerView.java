package org.tamarackline.core.placement;

import java.util.List;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.WorkerId;

/**
 * A worker that may get tasks.
 *
 * @param id worker
 * @param capacity capacity that it reported last
 * @param occupied capacity taken up by tasks that are not known to have ended
 * @param running tasks on the worker
 */
public record WorkerView(WorkerId id, Resources capacity, Resources occupied, List<RunningTask> running) {

    /** Creates a view that later changes of the arguments do not affect. */
    public WorkerView {
        running = List.copyOf(running);
    }

    /** Returns the capacity that is not taken up; a part may be negative after the capacity shrank. */
    public Resources free() {
        return capacity.minus(occupied);
    }
}
