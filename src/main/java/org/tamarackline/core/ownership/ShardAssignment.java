package org.tamarackline.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;

/**
 * Chooses the preferred owner of each shard by rendezvous hashing with a limit on the number of shards of a node.
 *
 * <p>A runner group prefers nodes in its data centre, which saves latency-critical requests a network hop. A rack prefers
 * nodes in other data centres, so that the loss of a data centre does not affect the workers and their owner together. Within
 * a family no node gets more than the even share, rounded up. So each of three nodes owns one of three runner groups.
 */
public final class ShardAssignment {

    private ShardAssignment() {}

    /**
     * A node that can own shards.
     *
     * @param node identity of the node
     * @param dataCentre data centre of the node
     */
    public record Candidate(NodeId node, DataCentre dataCentre) {}

    /** Returns the preferred owner of each shard; the result is empty if there are no candidates. */
    public static Map<ShardId, NodeId> assign(Collection<Shard> shards, Collection<Candidate> candidates) {
        Map<ShardId, NodeId> owners = new TreeMap<>();
        if (candidates.isEmpty()) {
            return owners;
        }
        Map<String, List<Shard>> pools = new TreeMap<>();
        for (Shard shard : shards) {
            pools.computeIfAbsent(poolOf(shard), key -> new ArrayList<>()).add(shard);
        }
        Map<String, Map<NodeId, Integer>> loads = new HashMap<>();
        for (List<Shard> pool : pools.values()) {
            Shard first = pool.get(0);
            List<Candidate> preferred = preferred(first, candidates);
            Map<NodeId, Integer> load = loads.computeIfAbsent(first.family(), key -> new HashMap<>());
            assignPool(pool, preferred, load, owners);
        }
        return owners;
    }

    /** Returns the key of the shards that prefer the same nodes and are spread over them together. */
    private static String poolOf(Shard shard) {
        return shard.family() + "\n" + shard.dataCentre();
    }

    private static List<Candidate> preferred(Shard shard, Collection<Candidate> candidates) {
        boolean sameDataCentre = shard.kind() == Shard.Kind.GROUP;
        List<Candidate> preferred = candidates.stream()
                .filter(candidate -> candidate.dataCentre().equals(shard.dataCentre()) == sameDataCentre)
                .toList();
        return preferred.isEmpty() ? List.copyOf(candidates) : preferred;
    }

    private static void assignPool(
            List<Shard> pool, List<Candidate> candidates, Map<NodeId, Integer> load, Map<ShardId, NodeId> owners) {
        int alreadyAssigned = candidates.stream()
                .mapToInt(candidate -> load.getOrDefault(candidate.node(), 0))
                .sum();
        int maxPerNode = Math.ceilDiv(alreadyAssigned + pool.size(), candidates.size());
        for (Shard shard : pool) {
            NodeId owner = candidates.stream()
                    .map(Candidate::node)
                    .filter(node -> load.getOrDefault(node, 0) < maxPerNode)
                    .min(byScore(shard.id()))
                    .orElseThrow();
            owners.put(shard.id(), owner);
            load.merge(owner, 1, Integer::sum);
        }
    }

    private static Comparator<NodeId> byScore(ShardId shard) {
        return Comparator.<NodeId>comparingLong(node -> StableHashes.hash(shard + "\n" + node))
                .thenComparing(Comparator.naturalOrder());
    }
}
