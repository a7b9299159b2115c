package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.placement.ResourceShares;
import org.tamarackline.core.task.RackLoad;
import org.tamarackline.entry.cluster.Member;
import org.tamarackline.entry.jobs.JobMessages.LoadsRequest;
import org.tamarackline.entry.jobs.JobMessages.LoadsResponse;
import org.tamarackline.entry.jobs.JobMessages.ShardLoad;
import org.tamarackline.peer.PeerException;

/** Caches the rack loads of the region as the owners last reported them, and selects racks by load. Thread-safe. */
final class RackLoadCache {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final JobsContext context;
    private final Map<NodeId, List<ShardLoad>> byNode = new ConcurrentHashMap<>();

    RackLoadCache(JobsContext context) {
        this.context = context;
    }

    /** Replaces the loads of the racks that this node owns. */
    void setOwned(List<ShardLoad> owned) {
        byNode.put(context.cluster().self(), owned);
    }

    List<ShardLoad> owned() {
        return byNode.getOrDefault(context.cluster().self(), List.of());
    }

    /** Requests the loads of all other nodes of the region; blocks until each has responded or failed. */
    void refresh() {
        Duration timeout = context.settings().cluster().requestTimeout();
        List<Member> peers = context.cluster().peers().stream()
                .filter(peer -> peer.region().equals(context.settings().region()))
                .toList();
        for (Member peer : peers) {
            try {
                if (context.peers().call(peer.node(), new LoadsRequest(), timeout) instanceof LoadsResponse loads) {
                    byNode.put(peer.node(), loads.racks());
                }
            } catch (PeerException e) {
                LOG.atFine().withCause(e).log("rack loads of node %s could not be fetched", peer.node());
                byNode.remove(peer.node());
            }
        }
    }

    /** Returns the loads by rack. If a rack has a known owner, only the load that this owner reported counts. */
    Map<ShardId, RackLoad> byRack() {
        Map<ShardId, RackLoad> loads = new HashMap<>();
        byNode.forEach((node, racks) -> racks.stream()
                .filter(rack -> context.cluster()
                        .ownerOf(rack.shard())
                        .map(node::equals)
                        .orElse(true))
                .forEach(rack -> loads.put(rack.shard(), rack.load())));
        return loads;
    }

    /** Returns the sum of the capacities of all racks. */
    Resources totalCapacity() {
        return byRack().values().stream().map(RackLoad::capacity).reduce(Resources.NONE, Resources::plus);
    }

    /**
     * Returns the rack that should take tasks of the given size, other than {@code excluded}.
     *
     * <p>Prefers racks in which one worker has enough free capacity for a task, then racks with a large enough worker, then
     * any rack. Among racks of the same preference, the one with the lowest load is returned.
     */
    Optional<ShardId> selectRack(Resources size, Optional<ShardId> excluded) {
        return byRack().entrySet().stream()
                .filter(rack -> !excluded.equals(Optional.of(rack.getKey())))
                .min(Comparator.<Map.Entry<ShardId, RackLoad>>comparingInt(rack -> fitRank(size, rack.getValue()))
                        .thenComparingDouble(rack -> loadScore(rack.getValue()))
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }

    /** Returns a rack other than {@code excluded} that could start a task of the given size now. */
    Optional<ShardId> selectRackWithCapacity(Resources size, ShardId excluded) {
        return selectRack(size, Optional.of(excluded))
                .filter(shard -> size.fitsIn(byRack().get(shard).largestFree()));
    }

    /** Returns a rack other than {@code excluded} that has a worker large enough for the given size. */
    Optional<ShardId> selectRackWithLargeEnoughWorker(Resources size, ShardId excluded) {
        return selectRack(size, Optional.of(excluded))
                .filter(shard -> size.fitsIn(byRack().get(shard).largestWorker()));
    }

    /** Returns an upper estimate of the number of tasks of the given size that fit in the free capacity of the rack. */
    int estimateTasksThatFit(Resources size, ShardId shard) {
        RackLoad load = byRack().get(shard);
        double share = load == null ? 1 : ResourceShares.dominantShare(size, load.free());
        return (int) (1 / share);
    }

    /**
     * Returns whether all nodes and workers of the region have reported, so that no capacity can be missing from the cache.
     */
    boolean isComplete() {
        boolean workersReported = byRack().values().stream().allMatch(RackLoad::complete);
        return workersReported
                && context.cluster().peers().stream()
                        .filter(peer -> peer.region().equals(context.settings().region()))
                        .allMatch(peer -> byNode.containsKey(peer.node()));
    }

    private static int fitRank(Resources size, RackLoad load) {
        if (size.fitsIn(load.largestFree())) {
            return 0;
        }
        return size.fitsIn(load.largestWorker()) ? 1 : 2;
    }

    private static double loadScore(RackLoad load) {
        return ResourceShares.dominantShare(load.capacity().minus(load.free()), load.capacity())
                + load.waiting() / (1.0 + load.capacity().processorMillis());
    }
}
