package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardLayout;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.VmDirectory;

/**
 * The runners of all groups and services, from the last VM list that the platform returned.
 *
 * <p>The last list stays in use during an outage of the platform. Thread-safe; reads take no lock.
 */
@Singleton
public final class RunnerDirectory {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Time for which a runner that announced that it is leaving gets no requests although the VM list still shows it as live. */
    private static final Duration LEAVING_TTL = Duration.ofSeconds(30);

    private final VmDirectory vms;
    private final int runnerGroups;
    private final Cluster cluster;
    private final MonotonicClock clock;
    private final Map<RunnerId, Long> leavingSinceNanos = new ConcurrentHashMap<>();
    private volatile List<VmRecord> lastVmList = List.of();
    private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

    /** Creates an empty directory. */
    @Inject
    public RunnerDirectory(VmDirectory vms, EntrySettings settings, Cluster cluster, MonotonicClock clock) {
        this.vms = vms;
        this.runnerGroups = settings.requests().runnerGroups();
        this.cluster = cluster;
        this.clock = clock;
    }

    private record Snapshot(
            Map<ShardId, List<Runner>> runnersByShard, Map<ServiceName, List<ShardId>> shardsByService) {}

    /** Reads the VM list again; keeps the last one if the platform is unavailable. */
    public void refresh() {
        try {
            lastVmList = List.copyOf(vms.list());
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("could not refresh the VM list; keeping the last one");
        }
        rebuild();
    }

    /** Builds the runners from the last list, the configuration and the runners that announced that they are leaving. */
    public void rebuild() {
        long nowNanos = clock.nowNanos();
        leavingSinceNanos.values().removeIf(since -> nowNanos - since > LEAVING_TTL.toNanos());
        Set<String> outOfService =
                cluster.configuration().map(Configuration::vmsOutOfService).orElse(Set.of());
        Map<ShardId, List<Runner>> runnersByShard = new LinkedHashMap<>();
        Map<ServiceName, List<ShardId>> shardsByService = new HashMap<>();
        ShardLayout layout = ShardLayout.of(lastVmList, runnerGroups);
        for (Shard shard : layout.shards()) {
            List<Runner> runners = new ArrayList<>();
            if (shard.kind() == Shard.Kind.GROUP) {
                layout.vmsOf(shard.id())
                        .forEach(vm -> toRunner(vm, outOfService).ifPresent(runners::add));
            }
            if (!runners.isEmpty()) {
                runnersByShard.put(shard.id(), List.copyOf(runners));
                shardsByService
                        .computeIfAbsent(runners.get(0).service(), service -> new ArrayList<>())
                        .add(shard.id());
            }
        }
        snapshot = new Snapshot(runnersByShard, shardsByService);
    }

    /** Marks a runner as leaving, so that it gets no new requests. Returns false if it was marked before. */
    public boolean markLeaving(RunnerId runner) {
        return leavingSinceNanos.put(runner, clock.nowNanos()) == null;
    }

    /** Returns the runners of a group. */
    public List<Runner> runnersOf(ShardId shard) {
        return snapshot.runnersByShard().getOrDefault(shard, List.of());
    }

    /** Returns the groups of a service. */
    public List<ShardId> shardsOf(ServiceName service) {
        return snapshot.shardsByService().getOrDefault(service, List.of());
    }

    /** Returns all runners. */
    public List<Runner> all() {
        return snapshot.runnersByShard().values().stream().flatMap(List::stream).toList();
    }

    /** Returns the runners of a service that accept requests, whichever node owns them. */
    public List<Runner> acceptingRunnersOf(ServiceName service) {
        return shardsOf(service).stream()
                .flatMap(shard -> runnersOf(shard).stream())
                .filter(Runner::accepting)
                .toList();
    }

    private Optional<Runner> toRunner(VmRecord vm, Set<String> outOfService) {
        try {
            RunnerId id = new RunnerId(vm.id());
            boolean accepting = vm.state() == VmRecord.State.LIVE
                    && !outOfService.contains(vm.id())
                    && !leavingSinceNanos.containsKey(id);
            return Optional.of(new Runner(
                    id,
                    new ServiceName(vm.role()),
                    vm.dataCentre(),
                    vm.address(),
                    vm.slots(),
                    vm.connections(),
                    accepting));
        } catch (IllegalArgumentException e) {
            LOG.atWarning().withCause(e).log("ignoring a VM whose record is not valid");
            return Optional.empty();
        }
    }
}
