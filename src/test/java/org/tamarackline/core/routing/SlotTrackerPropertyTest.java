package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more concurrent requests at a runner than it has slots, when messages that return slots are lost or late,
 * or the owner of the group changes.
 *
 * <p>The test simulates the runners: the use of a slot lasts until the test ends it, but no longer than the request limit.
 */
class SlotTrackerPropertyTest {

    private static final Duration REQUEST_LIMIT = Duration.ofSeconds(10);
    private static final Duration RETURN_MARGIN = Duration.ofMillis(500);
    private static final ServiceName SERVICE = new ServiceName("quotes");
    private static final DataCentre HERE = new DataCentre("a");
    private static final ShardId SHARD = new ShardId("group:quotes:a:0");
    private static final int CONNECTIONS_PER_RUNNER = 9;
    /** Limit for four live nodes; only the three of {@link #NODES} request slots. */
    private static final ConnectionLimit CONNECTION_LIMIT = new ConnectionLimit(4);

    private static final List<NodeId> NODES = List.of(new NodeId("n1"), new NodeId("n2"), new NodeId("n3"));

    @Property(seed = "20261204", tries = 500)
    void neverExceedsTheSlots(@ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        for (int step = 0; step < 300; step++) {
            simulation.runRandomStep();
        }
        simulation.checkThatAllSlotsAreFreed();
    }

    /** A use of a slot. A stuck use lasts until the request limit. */
    private record Use(SlotLease lease, NodeId holder, long startNanos, boolean stuck) {}

    private static final class Simulation {
        private final Random random;
        private final ManualClock clock = new ManualClock();
        private final Map<RunnerId, Runner> runners = new HashMap<>();
        private final List<Use> runningUses = new ArrayList<>();
        private final List<Long> delayedReturns = new ArrayList<>();
        private SlotTracker ownerTracker = newTracker();
        private long nextGrantId;

        Simulation(Random random) {
            this.random = random;
            for (int i = 0; i < 3; i++) {
                Runner runner = runner("r" + i, 1 + i, true);
                runners.put(runner.id(), runner);
            }
            ownerTracker.addNewGroup(SHARD, clock.nowNanos());
            ownerTracker.setRunners(SHARD, runners.values());
        }

        private static SlotTracker newTracker() {
            return new SlotTracker(REQUEST_LIMIT.plus(RETURN_MARGIN));
        }

        void runRandomStep() {
            switch (random.nextInt(16)) {
                case 0, 1, 2, 3, 4, 5 -> acquire();
                case 6, 7, 8 -> endUse();
                case 9 -> deliverDelayedReturns();
                case 10 -> advance(Duration.ofMillis(random.nextInt(2_000)));
                case 11 -> advance(Duration.ofMillis(random.nextInt(20)));
                case 12 -> changeRunners();
                case 13 -> takeOver();
                case 14 -> handOver();
                default -> failHandover();
            }
        }

        private void acquire() {
            NodeId holder = NODES.get(random.nextInt(NODES.size()));
            // One in ten requests repeats the grant of a use that is not finished.
            long grantId = random.nextInt(10) == 0 && !runningUses.isEmpty()
                    ? runningUses.get(0).lease().grantId()
                    : nextGrantId++;
            SlotRequest request = new SlotRequest(grantId, SERVICE, holder, HERE, CONNECTION_LIMIT, Set.of());
            Optional<SlotLease> lease = ownerTracker.acquire(request, runner -> true, clock.nowNanos());
            lease.ifPresent(granted -> start(granted, holder));
        }

        private void start(SlotLease lease, NodeId holder) {
            Runner runner = runners.get(lease.runner().id());
            assertThat(runner).as("a listed runner").isNotNull();
            assertThat(runner.accepting()).isTrue();
            runningUses.add(new Use(lease, holder, clock.nowNanos(), random.nextInt(4) == 0));
            assertThat(usesOf(runner)).isLessThanOrEqualTo(runner.slots());
            long usesOfHolder = runningUses.stream()
                    .filter(use -> use.lease().runner().id().equals(runner.id()))
                    .filter(use -> use.holder().equals(holder))
                    .count();
            assertThat(usesOfHolder).isLessThanOrEqualTo(CONNECTION_LIMIT.connectionsTo(runner));
        }

        private long usesOf(Runner runner) {
            return runningUses.stream()
                    .filter(use -> use.lease().runner().id().equals(runner.id()))
                    .count();
        }

        /** Ends a use. Its return reaches the owner late (0), never (1) or at once (2, 3). */
        private void endUse() {
            List<Use> endable = runningUses.stream().filter(use -> !use.stuck()).toList();
            if (endable.isEmpty()) {
                return;
            }
            Use ended = endable.get(random.nextInt(endable.size()));
            runningUses.remove(ended);
            int returnDelivery = random.nextInt(4);
            if (returnDelivery == 0) {
                delayedReturns.add(ended.lease().grantId());
            } else if (returnDelivery != 1) {
                ownerTracker.release(ended.lease().grantId());
            }
        }

        private void deliverDelayedReturns() {
            // Each return is delivered twice.
            delayedReturns.forEach(ownerTracker::release);
            delayedReturns.forEach(ownerTracker::release);
            delayedReturns.clear();
        }

        private void advance(Duration step) {
            clock.advance(step);
            runningUses.removeIf(use -> clock.nowNanos() - use.startNanos() >= REQUEST_LIMIT.toNanos());
        }

        private void changeRunners() {
            int number = random.nextInt(3);
            Runner runner = runner("r" + number, 1 + number, random.nextBoolean());
            if (random.nextInt(3) == 0) {
                runners.remove(runner.id());
            } else {
                runners.put(runner.id(), runner);
            }
            ownerTracker.setRunners(SHARD, runners.values());
        }

        private void takeOver() {
            ownerTracker = newTracker();
            ownerTracker.addGroupAfterOwnerFailure(SHARD, clock.nowNanos());
            ownerTracker.setRunners(SHARD, runners.values());
        }

        private void handOver() {
            SlotHandover state = ownerTracker.prepareHandover(SHARD, clock.nowNanos());
            checkThatNothingIsGranted();
            advance(Duration.ofMillis(random.nextInt(500)));
            SlotTracker next = newTracker();
            if (random.nextBoolean()) {
                next.addGroupAfterHandover(SHARD, state, clock.nowNanos());
                next.setRunners(SHARD, runners.values());
            } else {
                next.addGroupAfterHandover(SHARD, state, clock.nowNanos());
                // The new owner learns of the runners only after the handover.
                next.setRunners(SHARD, List.of());
                next.setRunners(SHARD, runners.values());
            }
            ownerTracker = next;
        }

        /**
         * Prepares a handover that the next owner does not take over. The owner keeps the group with its open uses and grants
         * slots as before.
         */
        private void failHandover() {
            ownerTracker.expireUses(clock.nowNanos());
            int openUses = ownerTracker.openUses();
            List<SlotTracker.RunnerLoad> loads = ownerTracker.runnerLoads(Optional.empty(), clock.nowNanos());
            ownerTracker.prepareHandover(SHARD, clock.nowNanos());
            checkThatNothingIsGranted();
            ownerTracker.addNewGroup(SHARD, clock.nowNanos());
            assertThat(ownerTracker.openUses()).isEqualTo(openUses);
            assertThat(ownerTracker.runnerLoads(Optional.empty(), clock.nowNanos()))
                    .isEqualTo(loads);
        }

        private void checkThatNothingIsGranted() {
            SlotRequest request =
                    new SlotRequest(nextGrantId++, SERVICE, NODES.get(0), HERE, CONNECTION_LIMIT, Set.of());
            assertThat(ownerTracker.acquire(request, runner -> true, clock.nowNanos()))
                    .isEmpty();
        }

        /** Checks that the slot of a use whose return was lost is freed after the maximum duration of a use. */
        void checkThatAllSlotsAreFreed() {
            advance(REQUEST_LIMIT.plus(RETURN_MARGIN).plusMillis(1));
            assertThat(ownerTracker.expireUses(clock.nowNanos()) || ownerTracker.openUses() == 0)
                    .isTrue();
            assertThat(ownerTracker.openUses()).isZero();
            ownerTracker.setRunners(SHARD, List.of(runner("r9", 2, true)));
            for (int i = 0; i < 2; i++) {
                SlotRequest request =
                        new SlotRequest(nextGrantId++, SERVICE, NODES.get(i), HERE, CONNECTION_LIMIT, Set.of());
                assertThat(ownerTracker.acquire(request, runner -> true, clock.nowNanos()))
                        .isPresent();
            }
        }

        private static Runner runner(String id, int slots, boolean accepting) {
            return new Runner(new RunnerId(id), SERVICE, HERE, "127.0.0.1:1", slots, CONNECTIONS_PER_RUNNER, accepting);
        }
    }
}
