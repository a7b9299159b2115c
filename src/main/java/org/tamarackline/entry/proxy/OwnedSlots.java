package org.tamarackline.entry.proxy;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.ConnectionLimit;
import org.tamarackline.core.routing.OutlierDetector;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.routing.SlotHandover;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.core.routing.SlotRequest;
import org.tamarackline.core.routing.SlotTracker;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.settings.EntrySettings;

/**
 * The slots of the runners that this node owns, and which of these runners are ejected for failures.
 *
 * <p>Not thread-safe: guarded by the lock of {@link SlotAllocator}.
 */
final class OwnedSlots {

    private final RunnerDirectory directory;
    private final MonotonicClock clock;
    private final EntrySettings settings;
    private final SlotTracker tracker;
    private final OutlierDetector outliers = new OutlierDetector(OutlierDetector.Limits.defaults());
    private ConnectionLimit connectionLimit = new ConnectionLimit(1);

    OwnedSlots(RunnerDirectory directory, MonotonicClock clock, EntrySettings settings) {
        this.directory = directory;
        this.clock = clock;
        this.settings = settings;
        this.tracker = new SlotTracker(
                settings.requests().requestLimit().plus(settings.cluster().driftMargin()));
    }

    /** Grants a free slot of a runner that is neither ejected nor excluded, if there is one. */
    Optional<SlotLease> acquire(long grantId, ServiceName service, NodeId holder, Set<RunnerId> excluded) {
        long nowNanos = clock.nowNanos();
        SlotRequest request =
                new SlotRequest(grantId, service, holder, settings.dataCentre(), connectionLimit, excluded);
        Optional<SlotLease> lease = tracker.acquire(request, runner -> outliers.isUsable(runner, nowNanos), nowNanos);
        lease.ifPresent(granted -> outliers.recordGrant(granted.runner().id(), nowNanos));
        return lease;
    }

    /** Releases a slot. */
    void release(long grantId) {
        tracker.release(grantId);
    }

    /** Releases a slot to whose runner no request was sent. */
    void releaseUnused(SlotLease lease) {
        tracker.release(lease.grantId());
        outliers.recordUnused(lease.runner().id());
    }

    /** Applies a report on a used slot. Returns false if this node does not own the group. */
    boolean applyReport(SlotMessages.ReturnSlot report) {
        if (!tracker.owns(report.shard())) {
            return false;
        }
        recordOutcome(report);
        if (report.released()) {
            tracker.release(report.grantId());
        }
        return true;
    }

    private void recordOutcome(SlotMessages.ReturnSlot report) {
        if (report.health() == RunnerOutcome.ANSWERED) {
            outliers.recordSuccess(report.runner());
        } else if (report.health() == RunnerOutcome.FAILED) {
            long nowNanos = clock.nowNanos();
            int ownedRunners =
                    tracker.runnerLoads(serviceOf(report.shard()), nowNanos).size();
            outliers.recordFailure(report.runner(), nowNanos, ownedRunners);
        } else {
            outliers.recordUnused(report.runner());
        }
    }

    /** Returns the service of the group's runners, if it has any. */
    Optional<ServiceName> serviceOf(ShardId shard) {
        return directory.runnersOf(shard).stream().findFirst().map(Runner::service);
    }

    /** Starts counting the slots of a group that this node acquired. */
    void addGroup(ShardId shard, GroupOrigin origin) {
        long nowNanos = clock.nowNanos();
        switch (origin) {
            case GroupOrigin.FirstOwner first -> tracker.addNewGroup(shard, nowNanos);
            case GroupOrigin.Takeover takeover -> tracker.addGroupAfterOwnerFailure(shard, nowNanos);
            case GroupOrigin.Handover handover -> tracker.addGroupAfterHandover(shard, handover.state(), nowNanos);
        }
    }

    /** Stops granting slots of the group and returns its open uses. */
    SlotHandover prepareHandover(ShardId shard) {
        return tracker.prepareHandover(shard, clock.nowNanos());
    }

    /** Removes a group that this node lost. */
    void removeGroup(ShardId shard) {
        tracker.removeGroup(shard);
    }

    /** Replaces the runners of an owned group. */
    void setRunners(ShardId shard, List<Runner> runners) {
        tracker.setRunners(shard, runners);
    }

    /** Sets how many connections to each runner this node may hold. */
    void setConnectionLimit(ConnectionLimit limit) {
        connectionLimit = limit;
    }

    /** Removes the failure history of runners that no longer exist, and expires uses whose time has passed. */
    void removeStale(List<RunnerId> knownRunners) {
        outliers.retain(knownRunners);
        tracker.expireUses(clock.nowNanos());
    }

    /** Returns the number of slots that serve the service: the owned ones, or those of all nodes if this node owns none. */
    int slotsServing(ServiceName service) {
        int owned = tracker.capacityOf(service);
        return owned > 0
                ? owned
                : directory.acceptingRunnersOf(service).stream()
                        .mapToInt(Runner::slots)
                        .sum();
    }

    /** Returns the load of each owned runner. */
    List<SlotTracker.RunnerLoad> runnerLoads() {
        return tracker.runnerLoads(Optional.empty(), clock.nowNanos());
    }

    /** Returns the number of slots in use, including those lent to other nodes. */
    int openUses() {
        return tracker.openUses();
    }

    /** Returns the number of runners that are ejected for failures. */
    int ejectedRunners() {
        return outliers.ejectedCount();
    }
}
