package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.JobState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the cancellation of a job that the store does not have: guards against a job that is run although its
 * cancellation was answered, because its submission was still on its way.
 */
class WithdrawnJobTest {

    /** Longer than a frozen node or a late write of the store delays a submission. */
    private static final Duration LATE = Duration.ofSeconds(8);

    private static final Duration SHORT = Duration.ofMillis(200);

    private final ElectionCluster cluster = new ElectionCluster();
    private final List<JobRequestHandler.Outcome> submissions = new ArrayList<>();
    private final List<JobRequestHandler.Outcome> cancellations = new ArrayList<>();
    private final List<JobRequestHandler.StateLookup> lookups = new ArrayList<>();
    private JobRequestHandler first;
    private JobRequestHandler second;

    @BeforeEach
    void startNodes() {
        first = cluster.requestHandler(cluster.start("node-0"));
        second = cluster.requestHandler(cluster.start("node-1"));
        advance(Duration.ofSeconds(5));
        assertThat(cluster.leading()).hasSize(1);
    }

    private void advance(Duration duration) {
        cluster.loop().advance(duration);
    }

    private Leader leader() {
        return cluster.leading().getFirst().election().leader().orElseThrow();
    }

    private void submit(JobRequestHandler handler) {
        handler.submit(JobDefinitions.tasks("j", 1, 10), submissions::add);
    }

    private void cancel(JobRequestHandler handler, String job) {
        handler.cancel(job, cancellations::add);
        advance(SHORT);
    }

    private void assertNoSuchJob() {
        assertThat(leader().state("j")).isEmpty();
        assertThat(leader().queuedJobCount("queue")).contains(0);
        cluster.requestHandler(cluster.leading().getFirst()).state("j", lookups::add);
        advance(SHORT);
        assertThat(lookups.getLast()).isEqualTo(new JobRequestHandler.StateLookup(null, null));
    }

    @Test
    void submissionThatTheStoreExecutesAfterTheCancellationIsNotStored() {
        cluster.store().setTransactionLatency(LATE);
        submit(first);
        advance(SHORT);
        cluster.store().setTransactionLatency(Duration.ofMillis(10));
        cancel(second, "j");
        assertThat(cancellations).containsExactly(new JobRequestHandler.Outcome.NoSuchJob());
        advance(LATE.multipliedBy(2));
        assertThat(submissions).containsExactly(new JobRequestHandler.Outcome.NoSuchJob());
        assertNoSuchJob();
    }

    @Test
    void submissionsAfterTheCancellationAreRefusedByEachNodeAndTheLeader() {
        cancel(second, "j");
        submit(first);
        submit(second);
        leader().submit("j", RecordCodec.encodeOpenJob(JobDefinitions.tasks("j", 1, 10)), submissions::add);
        advance(SHORT);
        assertThat(submissions).hasSize(3).containsOnly(new JobRequestHandler.Outcome.NoSuchJob());
        assertNoSuchJob();
    }

    /** Guards against a cancellation that is answered as if there were no job, while the job is being stored. */
    @Test
    void jobThatIsStoredWhileItsCancellationLooksForItIsCancelled() {
        second.cancel("j", cancellations::add);
        advance(Duration.ofMillis(12));
        submit(first);
        advance(Duration.ofSeconds(3));
        assertThat(submissions).hasSize(1).allMatch(JobRequestHandler.Outcome.Accepted.class::isInstance);
        assertThat(cancellations).hasSize(1).allMatch(JobRequestHandler.Outcome.Accepted.class::isInstance);
        assertThat(leader().state("j")).contains(JobState.CANCELLED);
    }

    /** Guards against a cancellation that is answered before it is stored, so that it does not hold. */
    @Test
    void cancellationThatIsNotStoredIsNotAcknowledged() {
        cluster.store().setTransactionLatency(LATE);
        cancel(second, "j");
        advance(Duration.ofMillis(1_500));
        assertThat(cancellations).noneMatch(JobRequestHandler.Outcome.NoSuchJob.class::isInstance);
    }

    @Test
    void cancellationHoldsAcrossAChangeOfLeaderAndItsRecordIsRemovedInTheEnd() {
        cancel(second, "j");
        cluster.kill(cluster.leading().getFirst());
        advance(Duration.ofSeconds(30));
        assertNoSuchJob();
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).containsKey("j");
        advance(FleetConstants.FINISHED_JOB_RETENTION);
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).doesNotContainKey("j");
    }

    /** Guards against a record that is removed while a submission after its last cancellation is on its way. */
    @Test
    void laterCancellationRenewsTheRecord() {
        cancel(second, "j");
        advance(Duration.ofMinutes(2));
        cancel(first, "j");
        advance(Duration.ofMinutes(2));
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).containsKey("j");
        advance(Duration.ofMinutes(2));
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).doesNotContainKey("j");
        assertThat(cancellations).hasSize(2).containsOnly(new JobRequestHandler.Outcome.NoSuchJob());
    }

    /** Guards against callers who fill the store by cancelling jobs that do not exist. */
    @Test
    void cancellationsOfUnknownJobsAreLimited() {
        for (int i = 0; i < 1_000; i++) {
            second.cancel("unknown" + i, cancellations::add);
            advance(Duration.ofMillis(1));
        }
        advance(Duration.ofSeconds(2));
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).hasSizeLessThan(210);
        assertThat(cancellations).hasSize(1_000);
        assertThat(cancellations.stream().filter(JobRequestHandler.Outcome.Unavailable.class::isInstance))
                .hasSizeGreaterThan(790);
    }
}
