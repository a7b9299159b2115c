package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.JobDefinition;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the metrics of several nodes show who leads and how the leader changed. */
class ElectionMetricsTest {

    private final ElectionCluster cluster = new ElectionCluster();

    /**
     * Guards against a scrape during a takeover that shows work of a leader which has ended, or an epoch without its
     * leader.
     */
    @Test
    void scrapesDuringATakeoverAreConsistent() {
        cluster.write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.tasks("j", 3, 600_000)));
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(1));
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(value(first, "tamarackline_leader_epoch")).isOne();
        List<Double> epochs = new ArrayList<>();
        cluster.loop().schedule(Duration.ofMillis(305), () -> first.election().resign(() -> {}));
        for (int i = 0; i < 500; i++) {
            cluster.loop().advance(Duration.ofMillis(10));
            assertConsistent(first);
            epochs.add(assertConsistent(second));
        }
        assertThat(epochs).contains(0.0, 2.0).isSorted();
        assertThat(value(first, "tamarackline_leader")).isZero();
        assertThat(value(second, "tamarackline_runs{phase=\"running\"}"))
                .as("adopted runs")
                .isEqualTo(3);
    }

    /** Checks that the values of one scrape belong to one leader or to none; returns the epoch. */
    private static double assertConsistent(ElectionCluster.Node node) {
        PrometheusText text = new PrometheusText(node.metrics().text());
        double leading = text.value("tamarackline_leader");
        double epoch = text.value("tamarackline_leader_epoch");
        assertThat(leading).isEqualTo(epoch > 0 ? 1 : 0);
        assertThat(leading).isEqualTo(node.leads() ? 1 : 0);
        assertThat(epoch).isEqualTo((double) node.epoch());
        assertThat(text.value("tamarackline_leadership_events_total{event=\"started\"}")
                        - text.value("tamarackline_leadership_events_total{event=\"ended\"}"))
                .isEqualTo(leading);
        assertThat(text.value("tamarackline_leader_ready")).isLessThanOrEqualTo(leading);
        if (leading == 0) {
            assertThat(text.value("tamarackline_jobs_open")).isZero();
            assertThat(text.value("tamarackline_runs{phase=\"running\"}")).isZero();
            assertThat(text.value("tamarackline_runners_known")).isZero();
            assertThat(text.value("tamarackline_leader_sample_age_seconds")).isZero();
        } else {
            assertThat(text.value("tamarackline_leader_sample_age_seconds")).isBetween(0.0, 1.0);
        }
        return epoch;
    }

    /** Guards against a change of leader that cannot be told from a node that never led. */
    @Test
    void takeoverFromASilentLeaderIsCounted() {
        ElectionCluster.Node first = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(1));
        ElectionCluster.Node second = cluster.start("node-1");
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(value(first, transactions("claim", "applied"))).isOne();
        assertThat(value(first, event("ready"))).isOne();
        assertThat(value(second, event("followed"))).isOne();
        assertThat(value(second, event("suspected"))).isZero();
        assertThat(value(second, "tamarackline_store_reads_total{outcome=\"read\",purpose=\"leader_record\"}"))
                .isPositive();
        cluster.kill(first);
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(value(second, event("suspected"))).isOne();
        assertThat(value(second, event("started"))).isOne();
        assertThat(value(second, transactions("claim", "applied"))).isOne();
        assertThat(value(second, "tamarackline_leader_epoch")).isEqualTo(2);
    }

    /** Guards against a resignation that the store refuses and that shows only in the log. */
    @Test
    void resignationAndItsFailuresAreCounted() {
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(2));
        cluster.store().setRejecting(true);
        node.election().resign(() -> {});
        cluster.loop().advance(Duration.ofSeconds(1));
        assertThat(value(node, event("resignation_failed"))).isPositive();
        assertThat(value(node, transactions("resignation", "not_applied")))
                .isEqualTo(value(node, event("resignation_failed")));
        cluster.store().setRejecting(false);
        cluster.loop().advance(Duration.ofSeconds(1));
        assertThat(value(node, event("resigned"))).isOne();
        assertThat(value(node, transactions("resignation", "applied"))).isOne();
    }

    /** Guards against claims without an answer that show only in the log. */
    @Test
    void claimWithoutAnAnswerIsCounted() {
        cluster.store().loseResponses(1);
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(10));
        assertThat(value(node, event("takeover_failed"))).isOne();
        assertThat(value(node, transactions("claim", "unknown"))).isOne();
        assertThat(value(node, event("started"))).isOne();
    }

    /** Guards against refused submissions without a reason, and against cancellations that count as submissions. */
    @Test
    void refusedSubmissionsAreCountedByReason() {
        ElectionCluster.Node node = cluster.start("node-0");
        cluster.loop().advance(Duration.ofSeconds(2));
        StoreContact storeContact = new StoreContact(node.loop());
        JobRequestHandler handler = new JobRequestHandler(
                node.loop(),
                new MonitoredStore(new NodeStore(cluster.store(), node.loop()), storeContact),
                storeContact,
                node.election(),
                new FakePeerCalls(node.loop(), cluster.network()),
                node.metrics(),
                cluster.timeOfDay());
        handler.submit(JobDefinitions.tasks("a", 1, 10), outcome -> {});
        cluster.loop().advance(Duration.ofMillis(100));
        assertThat(value(node, transactions("submission", "applied"))).isOne();
        JobDefinition small = JobDefinitions.tasks("b", 1, 10);
        String longSpec = "x".repeat(50_000);
        handler.submit(
                new JobDefinition(small.id(), small.queue(), longSpec, small.steps(), 0, 0, 0, 0), outcome -> {});
        assertThat(value(node, refused("too_large"))).isOne();
        handler.cancel("a", outcome -> {});
        cluster.loop().advance(Duration.ofMillis(15));
        cluster.store().setRejecting(true);
        cluster.loop().advance(Duration.ofMillis(100));
        cluster.store().setRejecting(false);
        assertThat(value(node, transactions("cancellation", "not_applied"))).isOne();
        assertThat(value(node, refused("store_refused"))).isZero();
        handler.cancel("a", outcome -> {});
        cluster.loop().advance(Duration.ofMillis(100));
        assertThat(value(node, transactions("cancellation", "applied"))).isOne();
        assertThat(value(node, "tamarackline_store_reads_total{outcome=\"read\",purpose=\"job\"}"))
                .isEqualTo(2);
        cluster.store().setRejecting(true);
        for (int i = 0; i < 10; i++) {
            handler.submit(JobDefinitions.tasks("c" + i, 1, 10), outcome -> {});
            cluster.loop().advance(Duration.ofMillis(30));
        }
        // The leader tries for a while to store the submissions that the store refused.
        cluster.loop().advance(Duration.ofSeconds(2));
        assertThat(value(node, refused("store_refused"))).isPositive();
        assertThat(value(node, refused("store_refused")))
                .isEqualTo(value(node, transactions("submission", "not_applied")));
        assertThat(value(node, refused("store_suspended"))).isPositive();
        assertThat(value(node, refused("store_refused")) + value(node, refused("store_suspended")))
                .isEqualTo(10);
    }

    private static String event(String event) {
        return "tamarackline_leadership_events_total{event=\"" + event + "\"}";
    }

    private static String refused(String reason) {
        return "tamarackline_submissions_refused_total{reason=\"" + reason + "\"}";
    }

    private static String transactions(String purpose, String outcome) {
        return "tamarackline_store_transactions_total{outcome=\"" + outcome + "\",purpose=\"" + purpose + "\"}";
    }

    private static double value(ElectionCluster.Node node, String series) {
        return new PrometheusText(node.metrics().text()).value(series);
    }
}
