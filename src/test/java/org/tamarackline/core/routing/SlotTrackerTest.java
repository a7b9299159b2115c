package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against the choice of a wrong runner, and against slots that become free too early or never. */
class SlotTrackerTest {

    private static final Duration MAX_USE_DURATION = Duration.ofMillis(10_500);
    private static final ServiceName SERVICE = new ServiceName("quotes");
    private static final NodeId SELF = new NodeId("n1");
    private static final DataCentre NEAR = new DataCentre("a");
    private static final DataCentre FAR = new DataCentre("b");
    private static final ShardId SHARD = new ShardId("group:quotes:a:0");

    private final ManualClock clock = new ManualClock();
    private final SlotTracker tracker = new SlotTracker(MAX_USE_DURATION);
    private long nextGrantId;

    @Test
    void spreadsOverTheLeastLoadedAndPrefersTheNearDataCentre() {
        addGroup(runner("far", FAR, 4), runner("one", NEAR, 2), runner("two", NEAR, 4));
        assertThat(List.of(
                        acquireRunnerId(),
                        acquireRunnerId(),
                        acquireRunnerId(),
                        acquireRunnerId(),
                        acquireRunnerId(),
                        acquireRunnerId()))
                .containsExactly("one", "two", "two", "one", "two", "two");
        assertThat(acquireRunnerId()).isEqualTo("far");
    }

    @Test
    void grantsNothingForOtherServicesOrExcludedRunners() {
        addGroup(runner("one", NEAR, 2));
        assertThat(acquire(new ServiceName("other"), Set.of())).isEmpty();
        assertThat(acquire(SERVICE, Set.of(new RunnerId("one")))).isEmpty();
        assertThat(acquire(SERVICE, Set.of())).isPresent();
    }

    @Test
    void connectionLimitAppliesToEachNode() {
        addGroup(runner("one", NEAR, 8));
        ConnectionLimit limit = new ConnectionLimit(20);
        for (int i = 0; i < 3; i++) {
            assertThat(tracker.acquire(request(SELF, limit), id -> true, clock.nowNanos()))
                    .isPresent();
        }
        assertThat(tracker.acquire(request(SELF, limit), id -> true, clock.nowNanos()))
                .isEmpty();
        assertThat(tracker.acquire(request(new NodeId("n2"), limit), id -> true, clock.nowNanos()))
                .isPresent();
    }

    @Test
    void countsAllSlotsAsOccupiedAfterATakeoverUntilTheRequestLimit() {
        tracker.addGroupAfterOwnerFailure(SHARD, clock.nowNanos());
        tracker.setRunners(SHARD, List.of(runner("one", NEAR, 1)));
        clock.advance(MAX_USE_DURATION.minusNanos(1));
        assertThat(acquire(SERVICE, Set.of())).isEmpty();
        clock.advance(Duration.ofNanos(1));
        assertThat(acquire(SERVICE, Set.of())).isPresent();
    }

    @Test
    void handsOverOpenUsesAndTheTimeOfAnEarlierTakeover() {
        addGroup(runner("one", NEAR, 2));
        SlotLease open = acquire(SERVICE, Set.of()).orElseThrow();
        clock.advance(Duration.ofSeconds(4));
        SlotHandover state = tracker.prepareHandover(SHARD, clock.nowNanos());
        assertThat(state.uses())
                .containsExactly(
                        new SlotHandover.OpenUse(open.grantId(), open.runner().id(), SELF, 6_500));

        SlotTracker next = new SlotTracker(MAX_USE_DURATION);
        next.addGroupAfterHandover(SHARD, state, clock.nowNanos());
        next.setRunners(SHARD, List.of(runner("one", NEAR, 1)));
        assertThat(next.acquire(request(SELF, new ConnectionLimit(1)), id -> true, clock.nowNanos()))
                .isEmpty();
        assertThat(next.release(open.grantId())).isTrue();
        assertThat(next.acquire(request(SELF, new ConnectionLimit(1)), id -> true, clock.nowNanos()))
                .isPresent();

        SlotTracker taken = new SlotTracker(MAX_USE_DURATION);
        taken.addGroupAfterOwnerFailure(SHARD, clock.nowNanos());
        assertThat(taken.prepareHandover(SHARD, clock.nowNanos()).occupiedMs()).isEqualTo(10_500);
    }

    @Test
    void lostReturnOccupiesTheSlotOnlyUntilTheRequestLimit() {
        addGroup(runner("one", NEAR, 1));
        SlotLease lost = acquire(SERVICE, Set.of()).orElseThrow();
        clock.advance(MAX_USE_DURATION.minusNanos(1));
        assertThat(acquire(SERVICE, Set.of())).isEmpty();
        clock.advance(Duration.ofNanos(1));
        assertThat(acquire(SERVICE, Set.of())).isPresent();
        assertThat(tracker.release(lost.grantId())).isFalse();
        assertThat(tracker.openUses()).isEqualTo(1);
    }

    private void addGroup(Runner... runners) {
        tracker.addNewGroup(SHARD, clock.nowNanos());
        tracker.setRunners(SHARD, List.of(runners));
    }

    private String acquireRunnerId() {
        return acquire(SERVICE, Set.of()).orElseThrow().runner().id().value();
    }

    private Optional<SlotLease> acquire(ServiceName service, Set<RunnerId> excluded) {
        SlotRequest request = new SlotRequest(nextGrantId++, service, SELF, NEAR, new ConnectionLimit(1), excluded);
        return tracker.acquire(request, id -> true, clock.nowNanos());
    }

    private SlotRequest request(NodeId holder, ConnectionLimit limit) {
        return new SlotRequest(nextGrantId++, SERVICE, holder, NEAR, limit, Set.of());
    }

    private static Runner runner(String id, DataCentre dataCentre, int slots) {
        return new Runner(new RunnerId(id), SERVICE, dataCentre, "127.0.0.1:1", slots, 64, true);
    }
}
