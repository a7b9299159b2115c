package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.entry.cluster.Member;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.store.FakePlatform;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests slots that one node lends to another. Guards against more concurrent requests at a runner than it has slots, and
 * against lent slots that are never released.
 */
class SlotBorrowingTest {

    private static final NodeId OWNER = new NodeId("127.0.0.1:7401");
    private static final NodeId BORROWER = new NodeId("127.0.0.1:7402");

    @Test
    void borrowsFromTheOwnerAndReturnsTheSlot() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                NodePair pair = new NodePair(runner)) {
            HttpResponse<String> response = pair.borrower.send(pair.borrower.request("/borrowed"));
            assertThat(response.body()).isEqualTo("/borrowed");
            ProxyFixture.await(() -> pair.owner.broker.snapshot().openUses() == 0);
        }
    }

    @Test
    void bothNodesTogetherNeverExceedTheSlots() throws Exception {
        CountDownLatch bothSlotsInUse = new CountDownLatch(2);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    bothSlotsInUse.countDown();
                    bothSlotsInUse.await(10, TimeUnit.SECONDS);
                    Thread.sleep(1);
                    ScriptedUpstream.echo().respond(request, connection);
                });
                NodePair pair = new NodePair(runner)) {
            List<CompletableFuture<Integer>> statuses = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                statuses.add(sendAsync(pair.owner));
                statuses.add(sendAsync(pair.borrower));
            }
            assertThat(statuses.stream().map(CompletableFuture::join)).containsOnly(200);
            assertThat(runner.received).hasSize(24);
            assertThat(runner.maxConcurrentRequests.get()).isEqualTo(2);
            ProxyFixture.await(() -> pair.owner.broker.snapshot().openUses() == 0);
        }
    }

    /**
     * Guards against a borrower that gets no slots because each released slot goes to a request that waits at the runner's
     * owner.
     */
    @Test
    void aBorrowerGetsSlotsWhileTheOwnerIsBusy() throws Exception {
        CountDownLatch borrowerDone = new CountDownLatch(1);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    Thread.sleep(5);
                    ScriptedUpstream.echo().respond(request, connection);
                });
                NodePair pair = new NodePair(runner)) {
            List<Thread> load = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                load.add(Thread.ofVirtual().start(() -> {
                    while (borrowerDone.getCount() > 0) {
                        sendAsync(pair.owner).join();
                    }
                }));
            }
            ProxyFixture.await(() -> pair.owner.broker.snapshot().waiting() > 0);
            List<Integer> statuses = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                statuses.add(sendAsync(pair.borrower).join());
            }
            borrowerDone.countDown();
            for (Thread thread : load) {
                thread.join();
            }
            assertThat(statuses).containsOnly(200);
            assertThat(runner.maxConcurrentRequests.get()).isLessThanOrEqualTo(2);
            ProxyFixture.await(() -> pair.owner.broker.snapshot().openUses() == 0);
        }
    }

    @Test
    void cancelsAGrantWhoseResponseWasLost() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                NodePair pair = new NodePair(runner)) {
            pair.borrowResponsesToLose.set(1);
            HttpResponse<String> refused =
                    pair.borrower.send(pair.borrower.request("/").header("Tamarackline-Deadline-Ms", "100"));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.headers().firstValue("Tamarackline-Executed")).contains("no");
            ProxyFixture.await(() -> pair.owner.broker.snapshot().openUses() == 0);
        }
    }

    @Test
    void anIsolatedOwnerLendsNothing() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                NodePair pair = new NodePair(runner)) {
            pair.owner.cluster.setMembershipStatus(MembershipStatus.ISOLATED);
            HttpResponse<String> refused =
                    pair.borrower.send(pair.borrower.request("/").header("Tamarackline-Deadline-Ms", "100"));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(runner.received).isEmpty();
        }
    }

    /**
     * Guards against slots in use that the next owner does not count or never frees, when a group is handed over while a
     * request is running.
     */
    @Test
    void theNextOwnerCountsOpenUsesAndReceivesReturnedSlots() throws Exception {
        CountDownLatch handedOver = new CountDownLatch(1);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    handedOver.await();
                    ScriptedUpstream.echo().respond(request, connection);
                });
                NodePair pair = new NodePair(runner)) {
            CompletableFuture<Integer> inFlight = sendAsync(pair.owner);
            ProxyFixture.await(() -> runner.received.size() == 1);
            JsonNode state = pair.owner.ownership.prepareHandover(ProxyFixture.GROUP);
            pair.borrower.ownership.acquired(
                    ProxyFixture.GROUP, new Epoch(2), OwnershipListener.Origin.HANDOVER, Optional.of(state));
            pair.owner.ownership.lost(ProxyFixture.GROUP);
            pair.setOwner(BORROWER);
            assertThat(pair.borrower.broker.snapshot().openUses()).isEqualTo(1);

            handedOver.countDown();
            assertThat(inFlight.join()).isEqualTo(200);
            ProxyFixture.await(() -> pair.borrower.broker.snapshot().openUses() == 0);
        }
    }

    private static CompletableFuture<Integer> sendAsync(ProxyFixture node) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return node.send(node.request("/")).statusCode();
                    } catch (IOException | InterruptedException e) {
                        throw new IllegalStateException(e);
                    }
                },
                task -> Thread.ofVirtual().start(task));
    }

    /** Two nodes that call each other directly; {@code owner} owns the only runner group. */
    private static final class NodePair implements AutoCloseable {
        private final Map<NodeId, SlotPeerHandler> handlers = new ConcurrentHashMap<>();
        private final AtomicInteger borrowResponsesToLose = new AtomicInteger();
        private final ProxyFixture owner;
        private final ProxyFixture borrower;

        NodePair(ScriptedUpstream runner) throws Exception {
            FakePlatform platform = new FakePlatform();
            owner = createNode(OWNER, BORROWER, platform, runner);
            borrower = createNode(BORROWER, OWNER, platform, runner);
            owner.acquireGroup();
            borrower.directory.refresh();
            setOwner(OWNER);
        }

        private ProxyFixture createNode(NodeId self, NodeId other, FakePlatform platform, ScriptedUpstream runner)
                throws Exception {
            ProxyFixture node = ProxyFixture.withoutDeadline(
                    self, (target, request, timeout) -> call(self, target, request), platform);
            node.addRunner("r0", runner.address(), 2);
            node.cluster.addPeer(new Member(other, new Region("tw"), ProxyFixture.DATA_CENTRE, false));
            handlers.put(self, node.peerHandler);
            return node;
        }

        private PeerMessage call(NodeId sender, NodeId target, PeerMessage request) throws PeerException {
            PeerMessage response = handlers.get(target).handle(sender, request).orElseThrow();
            if (request instanceof SlotMessages.BorrowSlot && borrowResponsesToLose.getAndDecrement() > 0) {
                throw new PeerException(PeerException.Reason.TIMEOUT, "response lost by the test", null);
            }
            return response;
        }

        /** Sets the owner that both nodes find. The epoch is the same for each owner, because the proxy does not use it. */
        void setOwner(NodeId node) {
            owner.cluster.setOwner(ProxyFixture.GROUP, node, new Epoch(1));
            borrower.cluster.setOwner(ProxyFixture.GROUP, node, new Epoch(1));
        }

        @Override
        public void close() throws IOException {
            owner.close();
            borrower.close();
        }
    }
}
