package org.tamarackline.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;

/**
 * Derives the shards from the platform's VM list: one for each rack of workers, and {@code runnerGroups} for each service and
 * data centre. A hash of its identifier decides which of these groups a runner belongs to.
 */
public final class ShardLayout {

    private final Map<ShardId, Shard> shards = new TreeMap<>();
    private final Map<ShardId, List<VmRecord>> vmsByShard = new HashMap<>();
    private final Map<String, ShardId> shardByVm = new HashMap<>();
    private final List<String> unusableVmIds = new ArrayList<>();

    private ShardLayout() {}

    /** Returns a layout without VMs. */
    public static ShardLayout empty() {
        return new ShardLayout();
    }

    /** Returns the layout of the VMs in all data centres. */
    public static ShardLayout of(Collection<VmRecord> vms, int runnerGroups) {
        ShardLayout layout = new ShardLayout();
        vms.forEach(vm -> layout.add(vm, runnerGroups));
        return layout;
    }

    /** Returns the layout of the VMs in the given data centres, which make up a region. */
    public static ShardLayout of(Collection<VmRecord> vms, int runnerGroups, Set<DataCentre> dataCentres) {
        return of(
                vms.stream().filter(vm -> dataCentres.contains(vm.dataCentre())).toList(), runnerGroups);
    }

    /** Returns the number of a runner's group, from 0 to {@code runnerGroups - 1}. */
    public static int groupOf(String runnerId, int runnerGroups) {
        return (int) Long.remainderUnsigned(StableHashes.hash(runnerId), runnerGroups);
    }

    private void add(VmRecord vm, int runnerGroups) {
        if (!Identifiers.isValid(vm.id())) {
            unusableVmIds.add(vm.id());
            return;
        }
        try {
            ShardId shard = addShards(vm, runnerGroups);
            vmsByShard.computeIfAbsent(shard, key -> new ArrayList<>()).add(vm);
            shardByVm.put(vm.id(), shard);
        } catch (IllegalArgumentException e) {
            // The role or rack cannot be part of the identifier of a shard.
            unusableVmIds.add(vm.id());
        }
    }

    private ShardId addShards(VmRecord vm, int runnerGroups) {
        if (vm.role().equals(VmRecord.WORKER_ROLE)) {
            ShardId rack = Shard.rackId(vm.dataCentre(), vm.rack());
            shards.put(rack, Shard.of(rack, vm.dataCentre()));
            return rack;
        }
        for (int number = 0; number < runnerGroups; number++) {
            ShardId group = Shard.groupId(vm.role(), vm.dataCentre(), number);
            shards.put(group, Shard.of(group, vm.dataCentre()));
        }
        return Shard.groupId(vm.role(), vm.dataCentre(), groupOf(vm.id(), runnerGroups));
    }

    /** Returns the shards in the order of their identity. */
    public List<Shard> shards() {
        return List.copyOf(shards.values());
    }

    /** Returns the shard with this identity. */
    public Optional<Shard> shard(ShardId id) {
        return Optional.ofNullable(shards.get(id));
    }

    /** Returns the VMs of the shard: the workers of a rack or the runners of a group. */
    public List<VmRecord> vmsOf(ShardId id) {
        return List.copyOf(vmsByShard.getOrDefault(id, List.of()));
    }

    /** Returns the shard that the VM belongs to. */
    public Optional<ShardId> shardOf(String vmId) {
        return Optional.ofNullable(shardByVm.get(vmId));
    }

    /** Returns the runner groups of the service in all data centres. */
    public List<Shard> groupsOf(ServiceName service) {
        return shards.values().stream()
                .filter(shard -> shard.kind() == Shard.Kind.GROUP)
                .filter(shard -> shard.id()
                        .equals(Shard.groupId(service.value(), shard.dataCentre(), groupNumberOf(shard.id()))))
                .toList();
    }

    private static int groupNumberOf(ShardId group) {
        String text = group.value();
        return Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
    }

    /** Returns the identifiers of VMs whose id, role or rack cannot be part of the identifier of a shard. */
    public List<String> unusableVmIds() {
        return List.copyOf(unusableVmIds);
    }
}
