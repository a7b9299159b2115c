package org.tamarackline.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against uneven assignments, owners in the wrong data centre, many moves of shards after the loss of a node, and
 * shards that depend on the order of the VM list.
 */
class ShardAssignmentTest {

    private static final int DATA_CENTRES = 3;

    private static List<ShardAssignment.Candidate> nodes(int perDataCentre) {
        List<ShardAssignment.Candidate> nodes = new ArrayList<>();
        for (int number = 0; number < DATA_CENTRES * perDataCentre; number++) {
            NodeId node = new NodeId("10.0.0.%d:7400".formatted(number + 1));
            nodes.add(new ShardAssignment.Candidate(node, new DataCentre("dc" + number % DATA_CENTRES)));
        }
        return nodes;
    }

    private static VmRecord vm(String id, String role, int dataCentre, String rack) {
        return new VmRecord(
                id,
                role,
                "10.1.0.1:80",
                new DataCentre("dc" + dataCentre),
                rack,
                VmRecord.State.LIVE,
                8,
                64,
                Resources.NONE);
    }

    private static ShardLayout layout(int racks) {
        List<VmRecord> vms = new ArrayList<>();
        for (int number = 0; number < DATA_CENTRES * 10; number++) {
            vms.add(vm("runner" + number, "quotes", number % DATA_CENTRES, "r1"));
        }
        for (int number = 0; number < racks; number++) {
            vms.add(vm("worker" + number, VmRecord.WORKER_ROLE, number % DATA_CENTRES, "rack" + number));
        }
        return ShardLayout.of(vms, 3);
    }

    @Test
    void eachNodeOwnsOneGroupOfItsDataCentre() {
        ShardLayout layout = layout(0);
        List<ShardAssignment.Candidate> nodes = nodes(3);
        Map<ShardId, NodeId> owners = ShardAssignment.assign(layout.shards(), nodes);
        assertThat(owners).hasSize(9);
        assertThat(owners.values()).doesNotHaveDuplicates();
        assertThat(owners)
                .allSatisfy((id, owner) -> assertThat(dataCentreOf(owner, nodes))
                        .isEqualTo(layout.shard(id).orElseThrow().dataCentre()));
    }

    @Test
    void racksAreOwnedEvenlyFromOtherDataCentres() {
        ShardLayout layout = layout(125);
        List<ShardAssignment.Candidate> nodes = nodes(3);
        List<Shard> racks = layout.shards().stream()
                .filter(shard -> shard.kind() == Shard.Kind.RACK)
                .toList();
        Map<ShardId, NodeId> owners = ShardAssignment.assign(racks, nodes);
        assertThat(owners)
                .hasSize(125)
                .allSatisfy((id, owner) -> assertThat(dataCentreOf(owner, nodes))
                        .isNotEqualTo(layout.shard(id).orElseThrow().dataCentre()));
        Map<NodeId, Long> loads =
                owners.values().stream().collect(Collectors.groupingBy(owner -> owner, Collectors.counting()));
        assertThat(loads).hasSize(9);
        assertThat(loads.values()).allSatisfy(load -> assertThat(load).isBetween(7L, 21L));
    }

    @Test
    void lossOfOneNodeMovesFewOtherShards() {
        List<Shard> shards = layout(125).shards();
        List<ShardAssignment.Candidate> nodes = nodes(3);
        Map<ShardId, NodeId> before = ShardAssignment.assign(shards, nodes);
        Map<ShardId, NodeId> after = ShardAssignment.assign(shards, nodes.subList(1, nodes.size()));
        NodeId lost = nodes.get(0).node();
        long moved = before.entrySet().stream()
                .filter(entry -> !entry.getValue().equals(lost))
                .filter(entry -> !entry.getValue().equals(after.get(entry.getKey())))
                .count();
        assertThat(moved).isLessThan(shards.size() / 4);
    }

    @Test
    void lastDataCentreOwnsEverything() {
        List<Shard> shards = layout(9).shards();
        assertThat(ShardAssignment.assign(shards, nodes(1).subList(0, 1))).hasSize(18);
        assertThat(ShardAssignment.assign(shards, List.of())).isEmpty();
    }

    @Test
    void layoutMapsVmsToShardsAndReportsUnusableOnes() {
        VmRecord runner = vm("runner1", "quotes", 0, "r1");
        VmRecord worker = vm("worker1", VmRecord.WORKER_ROLE, 1, "r2");
        ShardLayout layout = ShardLayout.of(List.of(vm("bad/id", "quotes", 0, "r1"), worker, runner), 3);
        assertThat(layout.unusableVmIds()).containsExactly("bad/id");
        assertThat(layout.groupsOf(new ServiceName("quotes"))).hasSize(3);
        assertThat(layout.groupsOf(new ServiceName("worker"))).isEmpty();
        assertThat(layout.vmsOf(new ShardId("rack:dc1:r2"))).containsExactly(worker);
        assertThat(layout.vmsOf(layout.shardOf("runner1").orElseThrow())).containsExactly(runner);
    }

    private static DataCentre dataCentreOf(NodeId node, List<ShardAssignment.Candidate> nodes) {
        return nodes.stream()
                .filter(candidate -> candidate.node().equals(node))
                .findFirst()
                .orElseThrow()
                .dataCentre();
    }
}
