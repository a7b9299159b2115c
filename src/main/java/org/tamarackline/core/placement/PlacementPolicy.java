package org.tamarackline.core.placement;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** Chooses the worker of a task. Implementations are pure functions of their arguments. */
public interface PlacementPolicy {

    /** Returns the worker for the task, empty if the task has to wait. */
    Optional<WorkerId> choose(PlacementRequest request, List<WorkerView> workers);
}
