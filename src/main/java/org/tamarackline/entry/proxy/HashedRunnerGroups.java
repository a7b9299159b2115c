package org.tamarackline.entry.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import jakarta.inject.Inject;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.platform.VmRecord;
import org.tamarackline.settings.EntrySettings;

/** Assigns each runner to one of the groups of its service and data centre by the hash of its identifier. */
public final class HashedRunnerGroups implements RunnerGroups {

    private final int groupsPerDataCentre;

    /** Creates the division from the node's settings. */
    @Inject
    public HashedRunnerGroups(EntrySettings settings) {
        this.groupsPerDataCentre = settings.requests().runnerGroups();
    }

    @Override
    public Map<ShardId, List<VmRecord>> groupsOf(List<VmRecord> vms) {
        Map<ShardId, List<VmRecord>> groups = new LinkedHashMap<>();
        for (VmRecord vm : vms) {
            if (!vm.role().equals(VmRecord.WORKER_ROLE)) {
                groups.computeIfAbsent(groupOf(vm), shard -> new ArrayList<>()).add(vm);
            }
        }
        return groups;
    }

    private ShardId groupOf(VmRecord vm) {
        int group = Math.floorMod(vm.id().hashCode(), groupsPerDataCentre);
        return new ShardId("group:%s:%s:%d".formatted(vm.role(), vm.dataCentre(), group));
    }
}
