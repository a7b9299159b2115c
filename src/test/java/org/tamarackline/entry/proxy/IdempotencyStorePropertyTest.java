package org.tamarackline.entry.proxy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.Executed;
import org.tamarackline.entry.FakeCluster;
import org.tamarackline.store.FakePlatform;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sending a request twice under one idempotency key. Several nodes claim the same keys while responses of the
 * platform are lost, the platform fails, and nodes are killed before or after the send.
 */
class IdempotencyStorePropertyTest {

    private static final int NODES = 3;
    private static final int KEYS = 3;

    @Property(seed = "20261204", tries = 300)
    void sendsAtMostOncePerKey(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        for (int step = 0; step < 40; step++) {
            simulation.runRandomStep();
        }
    }

    private static final class Simulation {
        private final Random random;
        private final FakePlatform platform = new FakePlatform();
        private final List<IdempotencyStore> nodes = new ArrayList<>();
        private final Map<IdempotencyKey, Integer> sends = new HashMap<>();

        Simulation(Random random) {
            this.random = random;
            IntStream.range(0, NODES).forEach(nodeIndex -> nodes.add(createNode(nodeIndex)));
        }

        private IdempotencyStore createNode(int nodeIndex) {
            FakeCluster cluster = new FakeCluster(new NodeId("n" + nodeIndex));
            IdempotencyCommitter committer = new IdempotencyCommitter(platform, MonotonicClock.system(), Duration.ZERO);
            return new IdempotencyStore(platform, cluster, ProxyFixture.settings(ProxyFixture.limits()), committer);
        }

        void runRandomStep() {
            switch (random.nextInt(12)) {
                case 0 -> platform.setDown(true);
                case 1, 2 -> platform.setDown(false);
                case 3 -> platform.loseNextResponse();
                case 4 -> platform.applyNextWithUnknownOutcome();
                case 5 -> platform.dropNextWithUnknownOutcome();
                case 6 -> restartNode();
                case 7 -> requestAtAllNodes();
                default -> request(random.nextInt(NODES), randomKey(), random.nextInt());
            }
        }

        /** Replaces a node by a new one: a killed process loses its memory, and its successor has only the table. */
        private void restartNode() {
            int nodeIndex = random.nextInt(NODES);
            nodes.set(nodeIndex, createNode(nodeIndex));
        }

        private IdempotencyKey randomKey() {
            return new IdempotencyKey(ProxyFixture.QUOTES, new CallerName("lianhua"), "k" + random.nextInt(KEYS));
        }

        private void requestAtAllNodes() {
            IdempotencyKey key = randomKey();
            int failureChoice = random.nextInt();
            List<CompletableFuture<Void>> running = IntStream.range(0, NODES)
                    .mapToObj(nodeIndex -> CompletableFuture.runAsync(() -> request(nodeIndex, key, failureChoice)))
                    .toList();
            running.forEach(CompletableFuture::join);
        }

        /** Acts as the router does; {@code failureChoice} selects where the process is killed or the send fails. */
        private void request(int nodeIndex, IdempotencyKey key, int failureChoice) {
            IdempotencyStore node = nodes.get(nodeIndex);
            try {
                IdempotencyStore.ClaimResult result = node.claim(key, "digest");
                if (result instanceof IdempotencyStore.ClaimResult.Claimed claimed) {
                    sendWithFailure(node, claimed.claim(), Math.floorMod(failureChoice, 5));
                } else {
                    assertThat(sendsOf(key))
                            .as("sends when a recorded response is replayed")
                            .isEqualTo(1);
                }
            } catch (RequestException e) {
                if (e.executed() == Executed.YES) {
                    assertThat(sendsOf(key)).isEqualTo(1);
                }
            }
        }

        private void sendWithFailure(IdempotencyStore node, IdempotencyStore.Claim claim, int failurePoint) {
            if (failurePoint == 0) {
                return;
            }
            if (failurePoint == 1) {
                node.withdraw(claim);
                return;
            }
            countSend(claim.key());
            if (failurePoint == 3) {
                node.recordResponse(claim, 200, List.of(), Optional.of("done".getBytes(StandardCharsets.UTF_8)));
            } else if (failurePoint == 4) {
                node.recordResponse(claim, 200, List.of(), Optional.empty());
            }
        }

        private void countSend(IdempotencyKey key) {
            synchronized (sends) {
                assertThat(sends.merge(key, 1, Integer::sum))
                        .as("sends of %s", key)
                        .isEqualTo(1);
            }
        }

        private int sendsOf(IdempotencyKey key) {
            synchronized (sends) {
                return sends.getOrDefault(key, 0);
            }
        }
    }
}
