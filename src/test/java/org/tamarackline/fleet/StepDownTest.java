package org.tamarackline.fleet;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests changes of the leader while a runner that the first leader used does not respond. The new leader waits until no
 * command of an earlier leader can have an effect on that runner any more.
 */
class StepDownTest {

    /** Leadership lease of an earlier leader, plus the longest runner lease. */
    private static final Duration FULL_WAIT = Duration.ofMillis(13_350);

    /** Longest runner lease. */
    private static final Duration LEASE_WAIT = Duration.ofMillis(5_350);

    /** The full wait on the store's clock and back, both at the largest drift of the clocks. */
    private static final Duration MAX_DRIFT_OF_STORED_WAIT =
            Duration.ofMillis((long) (FULL_WAIT.toMillis() * 2 * FleetConstants.MAX_CLOCK_DRIFT));

    /** A leader checks for expired waits every 150 ms; the test checks every 10 ms. */
    private static final Duration TOLERANCE = Duration.ofMillis(500);

    private final ElectionCluster cluster = new ElectionCluster();

    /** Guards against a successor that waits for a leader which has ended. */
    @Test
    void waitIsShortOnceTheEarlierLeaderHasSteppedDown() {
        ElectionCluster.Node first = startWithSilentRunner();
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        first.election().resign(() -> {});
        assertThat(waitAfterTakeover(second)).isBetween(LEASE_WAIT, LEASE_WAIT.plus(TOLERANCE));
        assertThat(first.leads()).isFalse();
    }

    /** Guards against a short wait although an earlier leader may still send commands. */
    @Test
    void waitIsFullWhileTheEarlierLeaderIsUnreachableAndStoredNoLeaseLimit() {
        cluster.store().setWriteFilter(LeaseLimits::withoutLimit);
        ElectionCluster.Node first = startWithSilentRunner();
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        first.loop().suspend();
        assertThat(waitAfterTakeover(second)).isBetween(FULL_WAIT, FULL_WAIT.plus(TOLERANCE));
    }

    /** Guards against a wait that is longer or shorter than the leases which an unreachable leader may have granted. */
    @Test
    void waitEndsWithTheLeaseLimitWhileTheEarlierLeaderIsUnreachable() {
        ElectionCluster.Node first = startWithSilentRunner();
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        first.loop().suspend();
        long suspendedNanos = cluster.loop().nowNanos();
        waitAfterTakeover(second);
        Duration waited = Duration.ofNanos(cluster.loop().nowNanos() - suspendedNanos);
        Duration oldestLimit = FleetConstants.LEASE_LIMIT_INTERVAL.plus(FleetConstants.LEASE_LIMIT_CHECK_INTERVAL);
        assertThat(waited)
                .isBetween(FleetConstants.LEASE_LIMIT.minus(oldestLimit), FleetConstants.LEASE_LIMIT.plus(TOLERANCE));
    }

    /**
     * Guards against a successor that sends a request only to the last one of two leaders that may still send commands.
     */
    @Test
    void waitIsFullWhileOnlyTheNewerOfTwoEarlierLeadersAnswers() {
        cluster.store().setWriteFilter(LeaseLimits::withoutLimit);
        ElectionCluster.Node second = succeedUnreachableLeader();
        long secondTakeoverNanos = cluster.loop().nowNanos();
        ElectionCluster.Node third = cluster.start("node-2");
        cluster.loop().advance(Duration.ofSeconds(1));
        second.election().resign(() -> {});
        assertThat(waitAfterTakeover(third)).isLessThan(FULL_WAIT.plus(TOLERANCE));
        // The second leader has cordoned the runner until the end of its own wait.
        assertThat(Duration.ofNanos(cluster.loop().nowNanos() - secondTakeoverNanos))
                .isBetween(FULL_WAIT, FULL_WAIT.plus(MAX_DRIFT_OF_STORED_WAIT).plus(TOLERANCE));
        assertThat(second.leads()).isFalse();
    }

    /** Guards against a successor that waits again for leaders that are known to have ended. */
    @Test
    void waitIsShortIfTheLastLeaderKnewThatAllBeforeHadEnded() {
        ElectionCluster.Node second = succeedUnreachableLeader();
        cluster.runner().resumeResponding();
        cluster.loop().advance(Duration.ofSeconds(9));
        cluster.runner().stopResponding();
        cluster.kill(second);
        ElectionCluster.Node third = cluster.start("node-1");
        assertThat(waitAfterTakeover(third)).isBetween(LEASE_WAIT, LEASE_WAIT.plus(TOLERANCE));
    }

    /** Guards against a suspended leader that sends commands after its successor has stopped waiting for it. */
    @Test
    void suspendedLeaderEndsBeforeItAnswers() {
        cluster.store().setWriteFilter(LeaseLimits::withoutLimit);
        ElectionCluster.Node first = startWithSilentRunner();
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        first.loop().suspend();
        Duration suspended = Duration.ofSeconds(6);
        cluster.loop().schedule(suspended, () -> first.loop().resume());
        long resumedNanos = cluster.loop().nowNanos() + suspended.toNanos();
        Duration wait = waitAfterTakeover(second);
        long waitedUntilNanos = cluster.loop().nowNanos();
        assertThat(Duration.ofNanos(waitedUntilNanos - resumedNanos)).isBetween(LEASE_WAIT, LEASE_WAIT.plus(TOLERANCE));
        assertThat(wait).isLessThan(FULL_WAIT);
        assertThat(first.leads()).isFalse();
        assertThat(cluster.runner().lastCommandNanos(1)).isLessThanOrEqualTo(resumedNanos);
    }

    /** Guards against a node that leads with an old claim after it has agreed not to. */
    @Test
    void lateResponseToAClaimDoesNotLeadAfterStepDown() {
        cluster.store().delayNextResponse(Duration.ofSeconds(8));
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofMillis(100));
        assertThat(cluster.storedLeader().epoch()).isOne();
        // The node does not learn from a read that its claim took effect either.
        first.store().setRefused(true);
        cluster.loop().advance(Duration.ofMillis(400));
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofMillis(9_500));
        assertThat(cluster.leaderEpochs()).containsExactly(2L);
        first.store().setRefused(false);
        cluster.loop().advance(Duration.ofMillis(2_500));
        assertThat(cluster.leaderEpochs()).containsExactly(2L);
        assertThat(cluster.leading()).containsExactly(second);
        assertThat(first.election().leaderAddress()).contains(second.address());
    }

    private ElectionCluster.Node startWithSilentRunner() {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.runner().activeRunCount()).isEqualTo(1);
        cluster.runner().stopResponding();
        return node;
    }

    /** Returns a node that has led with epoch 2 for less than a second, after a leader that no longer responds. */
    private ElectionCluster.Node succeedUnreachableLeader() {
        ElectionCluster.Node first = startWithSilentRunner();
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        cluster.kill(first);
        awaitTakeover(second);
        assertThat(second.epoch()).isEqualTo(2);
        return second;
    }

    private void awaitTakeover(ElectionCluster.Node node) {
        for (int i = 0; i < 1_000 && !node.leads(); i++) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        assertThat(node.leads()).isTrue();
    }

    /** Returns the time from a node's takeover until it no longer waits for the silent runner. */
    private Duration waitAfterTakeover(ElectionCluster.Node node) {
        awaitTakeover(node);
        long takeoverNanos = cluster.loop().nowNanos();
        Leader leader = node.election().leader().orElseThrow();
        // The leader reads the tables first; until then it expects no runner.
        cluster.loop().advance(Duration.ofMillis(200));
        assertThat(leader.fleet().unreportedRunners()).isEqualTo(1);
        for (int i = 0; i < 2_000 && leader.fleet().unreportedRunners() > 0; i++) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        return Duration.ofNanos(cluster.loop().nowNanos() - takeoverNanos);
    }
}
