package org.tamarackline.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.config.ServiceClass;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.WorkerId;

/** Spreads tasks over the workers and keeps room for surges of latency-critical work. */
public final class SpreadPolicy implements PlacementPolicy {

    @Override
    public Optional<WorkerId> choose(Demand demand, List<WorkerView> workers) {
        return workers.stream()
                .filter(worker -> !demand.avoid().contains(worker.id()))
                .filter(worker -> fits(demand, worker))
                .min(Comparator.<WorkerView>comparingDouble(worker -> fillAfter(demand, worker))
                        .thenComparing(WorkerView::id))
                .map(WorkerView::id);
    }

    private static boolean fits(Demand demand, WorkerView worker) {
        if (!demand.size().fitsIn(worker.free())) {
            return false;
        }
        if (demand.profile().serviceClass() == ServiceClass.LATENCY_CRITICAL) {
            return true;
        }
        // A task that needs nearly a whole worker would otherwise never run.
        boolean emptyWorker = worker.running().isEmpty();
        Resources after = worker.occupied().plus(demand.size());
        return emptyWorker || after.fitsIn(Shares.withoutHeadroom(worker.capacity()));
    }

    private static double fillAfter(Demand demand, WorkerView worker) {
        Resources after = worker.occupied().plus(demand.size());
        return Shares.dominant(after, worker.capacity());
    }
}
