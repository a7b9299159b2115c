package org.tamarackline.entry.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardLayout;

/**
 * The shards of the region: those that follow from the VM list and those that have a row. They are recomputed only
 * after a change, because the VM list has 1,000 entries at the target size and the shards are needed several times a
 * second. Not thread-safe: used by the ownership loop.
 */
final class RegionShards {

    private final int runnerGroups;
    private List<VmRecord> vms = List.of();
    private Set<DataCentre> dataCentres = Set.of();
    private Map<ShardId, Shard> shards = new TreeMap<>();

    RegionShards(int runnerGroups) {
        this.runnerGroups = runnerGroups;
    }

    /** Sets the VM list. */
    void setVms(List<VmRecord> next) {
        if (!next.equals(vms)) {
            vms = next;
            recompute();
        }
    }

    /** Sets the data centres of the region, which are those in its node rows. */
    void setDataCentres(Set<DataCentre> next) {
        if (!next.equals(dataCentres)) {
            dataCentres = next;
            recompute();
        }
    }

    /** Adds the shards that have a row. */
    void addRows(Collection<VersionedShardRow> rows) {
        for (VersionedShardRow stored : rows) {
            shards.computeIfAbsent(
                    stored.row().shard(), id -> Shard.of(id, stored.row().dataCentre()));
        }
    }

    /** Returns the shards, ordered by identity. */
    Collection<Shard> all() {
        return shards.values();
    }

    private void recompute() {
        Map<ShardId, Shard> next = new TreeMap<>(shards);
        ShardLayout.of(vms, runnerGroups, dataCentres).shards().forEach(shard -> next.put(shard.id(), shard));
        shards = next;
    }
}
