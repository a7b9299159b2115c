package org.tamarackline.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.ServiceClass;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.WorkerId;

/**
 * Chooses the worker that is least loaded with the task. Keeps a part of each worker free for surges of latency-critical
 * work.
 */
public final class SpreadPolicy implements PlacementPolicy {

    @Override
    public Optional<WorkerId> choose(PlacementRequest request, List<WorkerView> workers) {
        return workers.stream()
                .filter(worker -> !request.excludedWorkers().contains(worker.id()))
                .filter(worker -> fits(request, worker))
                .min(Comparator.<WorkerView>comparingDouble(worker -> dominantShareAfter(request, worker))
                        .thenComparing(WorkerView::id))
                .map(WorkerView::id);
    }

    private static boolean fits(PlacementRequest request, WorkerView worker) {
        if (!request.size().fitsIn(worker.free())) {
            return false;
        }
        if (request.profile().serviceClass() == ServiceClass.LATENCY_CRITICAL) {
            return true;
        }
        // Without this exception, a task that needs nearly a whole worker would never run.
        boolean emptyWorker = worker.running().isEmpty();
        Resources after = worker.occupied().plus(request.size());
        return emptyWorker || after.fitsIn(ResourceShares.withoutReserve(worker.capacity()));
    }

    private static double dominantShareAfter(PlacementRequest request, WorkerView worker) {
        Resources after = worker.occupied().plus(request.size());
        return ResourceShares.dominantShare(after, worker.capacity());
    }
}
