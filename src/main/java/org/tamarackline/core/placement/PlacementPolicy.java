package org.tamarackline.core.placement;

import java.util.List;
import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/** Chooses the worker of a task. Implementations are pure: the same arguments give the same choice. */
public interface PlacementPolicy {

    /** Returns the worker that should run the task, empty if it has to wait. */
    Optional<WorkerId> choose(PlacementRequest request, List<WorkerView> workers);
}
