package org.tamarackline.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.ResultLookup;
import org.tamarackline.core.task.TaskState;

import static org.assertj.core.api.Assertions.assertThat;

class RackManagerTest {

    private static final Resources WORKER_SIZE = new Resources(16_000, 60_000, 0);
    private static final Resources SMALL = new Resources(1_000, 1_000, 0);
    private static final ProfileName BATCH = BuiltInProfiles.OVERNIGHT_PLAN.name();
    private static final ProfileName LATENCY_CRITICAL = BuiltInProfiles.QUICK_ANSWER.name();
    private static final Duration LATENCY_BOUND = Duration.ofMillis(8_500);

    private final JobsFixture fixture = new JobsFixture();

    private void registerWorkers() {
        fixture.run(Duration.ofSeconds(2));
    }

    /** Guards against a failure anywhere between the submission of a job and the recorded end of its tasks. */
    @Test
    void runsAJobToItsEnd() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 10, 2_000, SMALL));
        fixture.run(Duration.ofSeconds(12));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(10);
    }

    /** Guards against a running task that is stopped because the responses to its start were lost. */
    @Test
    void keepsATaskRunningWhoseStartResponsesAreLost() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.workers.startResponsesToLose = 20;
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 20_000, SMALL));
        fixture.run(Duration.ofSeconds(60));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(1);
    }

    /** Guards against a running task that is stopped and run again, because later tries of its start could not be sent. */
    @Test
    void keepsATaskRunningWhoseStartIsUnconfirmedWhenRetriesCannotBeSent() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.workers.startResponsesToLose = 1;
        fixture.workers.startsNotSent = 2;
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 20_000, SMALL));
        fixture.run(Duration.ofSeconds(60));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.startsNotSent).isZero();
        assertThat(fixture.workers.history).hasSize(1);
    }

    /** Guards against a second run of a task that is done before its start, whose response was lost, is repeated. */
    @Test
    void doesNotRepeatATaskThatIsDoneBeforeItsStartIsRepeated() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.workers.startResponsesToLose = 1;
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 100, SMALL));
        fixture.run(Duration.ofSeconds(20));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(1);
    }

    /** Guards against a second run of a finished task whose worker was silent until its lease expired. */
    @Test
    void doesNotRepeatATaskWhoseResultIsStored() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 60_000, SMALL));
        fixture.run(Duration.ofSeconds(3));
        assertThat(fixture.get(job).counts()).containsEntry(TaskState.RUNNING, 1);
        fixture.addWorker("w2", "1", WORKER_SIZE);
        fixture.workers.silent.add("w1");
        String key = new ResultLookup(new TaskId(job.id(), 0), 1).key();
        fixture.platform.objects().put(key, "{\"workDoneMs\":60000}".getBytes(StandardCharsets.UTF_8));
        fixture.run(Duration.ofSeconds(40));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(1);
    }

    /** Guards against a start that is retried forever on a worker that it never reaches. */
    @Test
    void abandonsAStartThatNeverArrives() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.workers.dropStarts = true;
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
        fixture.run(Duration.ofSeconds(10));
        fixture.workers.dropStarts = false;
        fixture.run(Duration.ofSeconds(20));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(1);
        assertThat(fixture.workers.history.getFirst().attempt()).isGreaterThan(1);
    }

    /**
     * Guards against a latency-critical task that waits for a batch task to end, and an evicted task that is not resumed.
     */
    @Test
    void evictsABatchTaskForALatencyCriticalOneAndResumesItFromItsCheckpoint() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView batch = fixture.submit(JobsFixture.submission(BATCH, 1, 30_000, new Resources(16_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(5));
        assertThat(fixture.get(batch).counts()).containsEntry(TaskState.RUNNING, 1);
        JobView latencyCritical =
                fixture.submit(JobsFixture.submission(LATENCY_CRITICAL, 1, 3_000, new Resources(8_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(3));
        assertThat(fixture.get(latencyCritical).counts()).containsEntry(TaskState.RUNNING, 1);
        fixture.run(Duration.ofSeconds(45));
        assertThat(fixture.get(latencyCritical).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.get(batch).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(3);
        assertThat(fixture.workers.history.get(2).resumedFromMs()).isPositive();
    }

    /** Guards against an eviction that stops a task although its checkpoint could not be written. */
    @Test
    void doesNotStopATaskWhoseCheckpointCannotBeWritten() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE).objectStoreDown = true;
        registerWorkers();
        JobView batch = fixture.submit(JobsFixture.submission(BATCH, 1, 20_000, new Resources(16_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(3));
        fixture.submit(JobsFixture.submission(LATENCY_CRITICAL, 1, 1_000, new Resources(8_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(30));
        assertThat(fixture.get(batch).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(2);
    }

    /** Guards against a burst of cancellations that delays a latency-critical task beyond its latency bound. */
    @Test
    void startsALatencyCriticalTaskWhileTenThousandTasksAreCancelled() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView large = fixture.submit(JobsFixture.submission(BATCH, 10_000, 600_000, SMALL));
        fixture.run(Duration.ofSeconds(3));
        fixture.cancel(large);
        JobView latencyCritical = fixture.submit(JobsFixture.submission(LATENCY_CRITICAL, 1, 60_000, SMALL));
        fixture.run(LATENCY_BOUND);
        assertThat(fixture.get(latencyCritical).counts()).containsEntry(TaskState.RUNNING, 1);
        fixture.run(Duration.ofSeconds(20));
        assertThat(fixture.get(large).counts()).containsOnly(Map.entry(TaskState.CANCELLED, 10_000));
        assertThat(fixture.workers.get("w1").running()).hasSize(1);
    }

    /** Guards against tasks that wait in a full rack while another rack is idle. */
    @Test
    void movesWaitingTasksToARackWithCapacity() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        fixture.addWorker("w2", "2", WORKER_SIZE);
        registerWorkers();
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 8, 60_000, new Resources(4_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(20));
        assertThat(fixture.workers.get("w1").running()).isNotEmpty();
        assertThat(fixture.workers.get("w2").running()).isNotEmpty();
        fixture.run(Duration.ofMinutes(4));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(8);
    }

    /**
     * Guards against a task that is too large for all workers and never parked, or stays parked when a larger worker
     * appears.
     */
    @Test
    void parksWhatFitsNowhereUntilALargerWorkerAppears() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, new Resources(32_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.get(job).parked()).containsEntry(ParkReason.FITS_NOWHERE, 1);
        fixture.addWorker("w2", "2", new Resources(64_000, 60_000, 0));
        fixture.run(Duration.ofSeconds(20));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
    }

    /** Guards against a worker that fails all starts and keeps getting tasks. */
    @Test
    void keepsTasksAwayFromAWorkerThatFailsEverything() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE).failStarts = true;
        fixture.addWorker("w2", "1", WORKER_SIZE);
        registerWorkers();
        for (int i = 0; i < 20; i++) {
            fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
            fixture.run(Duration.ofSeconds(1));
        }
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.workers.history).hasSize(20);
        assertThat(fixture.workers.get("w1").failedStarts).isLessThan(10);
    }

    /** Guards against a task that fails on every worker and is retried forever. */
    @Test
    void parksATaskThatFailedOnThreeWorkers() throws Exception {
        for (int i = 0; i < 4; i++) {
            fixture.addWorker("w" + i, "1", WORKER_SIZE).failStarts = true;
        }
        registerWorkers();
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.get(job).parked()).containsEntry(ParkReason.POISON, 1);
    }

    /** Guards against a task that waits forever because the only worker failed once. */
    @Test
    void returnsToTheOnlyWorkerAfterAFailure() throws Exception {
        FakeWorker worker = fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        worker.failStarts = true;
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
        fixture.run(Duration.ofSeconds(5));
        worker.failStarts = false;
        fixture.run(Duration.ofSeconds(40));
        assertThat(fixture.get(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(worker.failedStarts).isEqualTo(1);
    }

    /** Guards against tasks that are stopped or started while the platform is down. */
    @Test
    void goesOnWithoutStartingAnythingDuringAnOutage() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        JobView running = fixture.submit(JobsFixture.submission(BATCH, 1, 60_000, SMALL));
        fixture.run(Duration.ofSeconds(2));
        JobView waiting = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
        fixture.platform.setDown(true);
        fixture.node.cluster.setMembershipStatus(MembershipStatus.OUTAGE);
        fixture.run(Duration.ofMinutes(2));
        assertThat(fixture.workers.history).hasSize(1);
        assertThat(fixture.workers.get("w1").running()).isEmpty();
        fixture.platform.setDown(false);
        fixture.node.cluster.setMembershipStatus(MembershipStatus.CONFIRMED);
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.get(running).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.get(waiting).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(2);
    }

    /** Guards against an isolated owner that goes on renewing worker leases after another node took over. */
    @Test
    void letsTheLeasesExpireWhenIsolated() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.submit(JobsFixture.submission(BATCH, 1, 600_000, SMALL));
        fixture.run(Duration.ofSeconds(10));
        fixture.node.cluster.setMembershipStatus(MembershipStatus.ISOLATED);
        fixture.run(Duration.ofSeconds(21));
        assertThat(fixture.workers.get("w1").running()).isEmpty();
    }

    /** Guards against usage totals that count the work of an evicted task twice. */
    @Test
    void countsTheWorkOfAnEvictedTaskOnce() throws Exception {
        fixture.addWorker("w1", "1", WORKER_SIZE);
        registerWorkers();
        fixture.submit(JobsFixture.submission(BATCH, 1, 30_000, new Resources(16_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(5));
        fixture.submit(JobsFixture.submission(LATENCY_CRITICAL, 1, 3_000, new Resources(8_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(60));
        long useful = fixture.call(() -> fixture.node.racks.usage()).stream()
                .mapToLong(line -> line.totals().usefulMs())
                .sum();
        assertThat(useful).isEqualTo(33_000);
    }
}
