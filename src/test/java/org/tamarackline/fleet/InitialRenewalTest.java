package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a new leader renews the leases of the runners before it has read the jobs. */
class InitialRenewalTest {

    private final ElectionCluster cluster = new ElectionCluster();

    /** Guards against leases that expire while a new leader still reads many jobs from a slow store. */
    @Test
    void leasesAreRenewedBeforeTheJobsAreRead() {
        ElectionCluster.Node second = takeOverOnASlowStore();
        long startedNanos = cluster.loop().nowNanos();
        while (!second.election().leader().orElseThrow().loaded()) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        Duration loadTime = Duration.ofNanos(cluster.loop().nowNanos() - startedNanos);
        assertThat(loadTime).isGreaterThan(Duration.ofSeconds(4));
        List<FencingFakeRunner.Poll> renewals = renewalsOf(2);
        assertThat(renewals).hasSizeGreaterThanOrEqualTo(2);
        Duration firstRenewal = Duration.ofNanos(renewals.getFirst().atNanos() - startedNanos);
        assertThat(firstRenewal).isLessThan(loadTime.minusSeconds(2));
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.runner().activeRunCount()).isEqualTo(1);
    }

    /** Guards against a renewal that a silent runner may receive, so that its lease never expires. */
    @Test
    void silentRunnerIsNotRenewedAgainBeforeTheJobsAreRead() {
        cluster.runner();
        ElectionCluster.Node second = takeOverOnASlowStore();
        cluster.loop().advance(Duration.ofSeconds(2));
        cluster.runner().stopResponding();
        int answered = renewalsOf(2).size();
        cluster.loop().advance(Duration.ofMillis(1_500));
        long lastCommandNanos = cluster.runner().lastCommandNanos(2);
        assertThat(second.election().leader().orElseThrow().loaded()).isFalse();
        cluster.loop().advance(Duration.ofMillis(1_500));
        assertThat(second.election().leader().orElseThrow().loaded()).isFalse();
        assertThat(renewalsOf(2)).hasSize(answered);
        assertThat(cluster.runner().lastCommandNanos(2)).isEqualTo(lastCommandNanos);
    }

    private List<FencingFakeRunner.Poll> renewalsOf(long epoch) {
        return cluster.runner().polls().stream()
                .filter(poll -> poll.epoch() == epoch && poll.renewsLease())
                .toList();
    }

    /** Returns a node that has just begun to lead with epoch 2, while the reads of the store take 3 s each. */
    private ElectionCluster.Node takeOverOnASlowStore() {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.longRunningTask("j")));
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(cluster.runner().activeRunCount()).isEqualTo(1);
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(1));
        cluster.kill(first);
        while (!second.leads()) {
            cluster.loop().advance(Duration.ofMillis(10));
        }
        cluster.store().setLatency(Duration.ofMillis(1_500));
        return second;
    }
}
