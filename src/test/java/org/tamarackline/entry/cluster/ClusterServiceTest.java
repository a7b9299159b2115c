package org.tamarackline.entry.cluster;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.multibindings.Multibinder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.load.PortReservations;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.VmDirectory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults that the simulated cluster cannot show: in calls over TCP, concurrent loops or the bindings of
 * the Guice module.
 */
class ClusterServiceTest {

    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

    private final FakePlatform platform = new FakePlatform();
    private final List<Injector> nodes = new ArrayList<>();
    private final PortReservations ports = new PortReservations();

    @AfterEach
    void stop() {
        nodes.forEach(node -> node.getInstance(ClusterService.class).stop());
        ports.close();
    }

    /** Records the acquired shards. It depends on the cluster, as the listeners of other packages do. */
    @Singleton
    static final class RecordingListener implements OwnershipListener {

        private final Cluster cluster;
        private final Map<ShardId, String> acquired = new ConcurrentHashMap<>();

        @Inject
        RecordingListener(Cluster cluster) {
            this.cluster = cluster;
        }

        @Override
        public boolean accepts(ShardId shard) {
            return true;
        }

        @Override
        public void acquired(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver) {
            acquired.put(shard, origin + handedOver.map(JsonNode::asText).orElse(""));
        }

        @Override
        public JsonNode prepareHandover(ShardId shard) {
            return TextNode.valueOf(" from " + cluster.self());
        }

        @Override
        public void lost(ShardId shard) {
            acquired.remove(shard);
        }
    }

    private Injector start() throws IOException {
        NodeId id = new NodeId("127.0.0.1:" + ports.reserve());
        EntrySettings settings = new EntrySettings(
                id,
                new Region("north"),
                new DataCentre("dc0"),
                "127.0.0.1:1",
                "127.0.0.1:2",
                "http://127.0.0.1:3",
                List.of(),
                new Secret("key"),
                new Secret("operator"),
                Map.of(),
                EntrySettings.ClusterTimes.defaults(),
                EntrySettings.RequestLimits.defaults(),
                EntrySettings.JobLimits.defaults());
        Injector node = Guice.createInjector(new ClusterModule(), new AbstractModule() {
            @Override
            protected void configure() {
                bind(EntrySettings.class).toInstance(settings);
                bind(MonotonicClock.class).toInstance(MonotonicClock.system());
                bind(TableStore.class).toInstance(platform);
                bind(VmDirectory.class).toInstance(platform);
                Multibinder.newSetBinder(binder(), OwnershipListener.class)
                        .addBinding()
                        .to(RecordingListener.class);
            }
        });
        node.getInstance(ClusterService.class).start();
        nodes.add(node);
        return node;
    }

    private static Cluster cluster(Injector node) {
        return node.getInstance(Cluster.class);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time").isLessThan(deadlineNanos);
            Thread.sleep(20);
        }
    }

    @Test
    void nodesJoinShareShardsReceiveConfigurationAndHandOver() throws Exception {
        platform.setVms(List.of(new VmRecord(
                "runner1",
                "quotes",
                "127.0.0.1:4",
                new DataCentre("dc0"),
                "r1",
                VmRecord.State.LIVE,
                8,
                64,
                Resources.NONE)));
        List<Injector> threeNodes = List.of(start(), start(), start());
        await(() -> threeNodes.stream()
                .allMatch(node -> cluster(node).membershipStatus() == MembershipStatus.CONFIRMED
                        && cluster(node).peers().size() == 2
                        && cluster(node).ownedShards().size() == 1));

        ConfigurationChangeResult result = threeNodes
                .get(0)
                .getInstance(ConfigurationWriter.class)
                .change(
                        0,
                        base -> new Configuration(
                                0, base.profiles(), base.teams(), base.services(), Set.of("runner1")));
        assertThat(result).isInstanceOfSatisfying(ConfigurationChangeResult.Accepted.class, accepted -> {
            assertThat(accepted.version()).isEqualTo(1);
            assertThat(accepted.inForce()).hasSize(3);
            assertThat(accepted.unconfirmed()).isEmpty();
        });
        assertThat(cluster(threeNodes.get(2)).configuration().orElseThrow().vmsOutOfService())
                .containsExactly("runner1");

        Injector leaving = threeNodes.get(0);
        ShardId shard = cluster(leaving).ownedShards().get(0);
        leaving.getInstance(ClusterService.class).leave();
        assertThat(leaving.getInstance(ClusterService.class).handOverAll()).isEmpty();
        await(() -> threeNodes.stream()
                .skip(1)
                .anyMatch(node -> ("HANDOVER from " + cluster(leaving).self())
                        .equals(node.getInstance(RecordingListener.class)
                                .acquired
                                .get(shard))));
        assertThat(cluster(leaving).ownedEpoch(shard)).isEmpty();
        await(() -> threeNodes.stream()
                .skip(1)
                .allMatch(node -> cluster(node)
                        .ownerOf(shard)
                        .filter(owner -> !owner.equals(cluster(leaving).self()))
                        .isPresent()));
    }
}
