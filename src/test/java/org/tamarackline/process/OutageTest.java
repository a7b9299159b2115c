package org.tamarackline.process;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.core.model.JobId;
import org.tamarackline.load.HistoryCheck;
import org.tamarackline.load.LocalCluster;
import org.tamarackline.load.RequestOutcome;
import org.tamarackline.load.Waits;
import org.tamarackline.standin.platform.PlatformFaults;
import org.tamarackline.standin.upstream.UpstreamFaults;
import org.tamarackline.standin.worker.WorkerFaults;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against interrupted or repeated work and wrong responses while the platform or a runner does not respond. */
class OutageTest {

    private static final int TASKS = 6;
    private static final Duration TASK_WORK = Duration.ofSeconds(15);

    /** Longer than the membership lease, the takeover timeout and the task lease of 6 s. */
    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(10);

    private static final Duration LOAD_DURATION = Duration.ofSeconds(8);
    private static final int MANY_TASKS = 30;
    private static final Duration SHORT_TASK_WORK = Duration.ofSeconds(1);
    private static final PlatformFaults LOSE_WRITE_RESPONSES = new PlatformFaults(false, 0, 40, false, 0);
    private static final WorkerFaults LOSE_COMMAND_RESPONSES = new WorkerFaults(false, false, 0, false, 10);
    private static final PlatformFaults DOWN = new PlatformFaults(true, 0, 0, false, 0);
    private static final UpstreamFaults SILENT = new UpstreamFaults(0, 0, true, false, false);

    @TempDir
    private Path directory;

    @Test
    void platformDownLongerThanEveryLease() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            JobId job = fixture.awaitAccepted(0, TASKS, TASK_WORK);
            fixture.awaitRunning(0, job, TASKS);
            String faults = fixture.cluster().platform().url() + "/faults";
            Instant outageStart = Instant.now();
            fixture.cluster().http().putJson(faults, DOWN);
            long outageEndNanos = System.nanoTime() + OUTAGE_DURATION.toNanos();
            Thread load = fixture.startLoad(LOAD_DURATION);
            load.join();
            Waits.until("the outage has lasted", ClusterFixture.TIMEOUT, () -> System.nanoTime() - outageEndNanos > 0);
            RequestOutcome outageOutcome = fixture.sendRequest(1, "in the outage");
            assertThat(outageOutcome.kind())
                    .as(() -> fixture.describeUnanswered(outageStart))
                    .isEqualTo(RequestOutcome.Kind.ANSWERED);
            assertThat(fixture.submit(1, 1, TASK_WORK)).isEmpty();
            fixture.cluster().http().putJson(faults, PlatformFaults.NONE);
            fixture.awaitDone(0, job);
            assertThat(fixture.outcomes())
                    .as(() -> fixture.describeUnanswered(outageStart))
                    .extracting(RequestOutcome::kind)
                    .containsOnly(RequestOutcome.Kind.ANSWERED);
            HistoryCheck.TaskCounts tasks = fixture.checkTasks();
            assertThat(tasks).isEqualTo(new HistoryCheck.TaskCounts(TASKS, 0, 0, 0, 0, 0));
            assertThat(fixture.checkRequests().isCorrect()).isTrue();
        }
    }

    @Test
    void lostAnswersOfPlatformAndWorkers() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            LocalCluster cluster = fixture.cluster();
            JobId job = fixture.awaitAccepted(0, MANY_TASKS, SHORT_TASK_WORK);
            fixture.awaitRunning(0, job, 1);
            cluster.http().putJson(cluster.platform().url() + "/faults", LOSE_WRITE_RESPONSES);
            for (LocalCluster.StandinProcess worker : cluster.workers()) {
                cluster.http().putJson(worker.url() + "/standin/faults", LOSE_COMMAND_RESPONSES);
            }
            fixture.awaitDone(0, job);
            HistoryCheck.TaskCounts tasks = fixture.checkTasks();
            assertThat(tasks.isCorrect()).as(tasks.toString()).isTrue();
        }
    }

    @Test
    void silentRunner() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            LocalCluster.StandinProcess runner = fixture.cluster().runners().getFirst();
            Thread load = fixture.startLoad(LOAD_DURATION);
            String faults = runner.url() + "/standin/faults";
            fixture.cluster().http().putJson(faults, SILENT);
            Waits.until(
                    "a request was sent to the silent runner",
                    ClusterFixture.TIMEOUT,
                    () -> fixture.outcomes().stream()
                            .anyMatch(outcome -> outcome.executed().equals(Optional.of("unknown"))));
            fixture.cluster().http().putJson(faults, UpstreamFaults.NONE);
            load.join();
            HistoryCheck.RequestCounts requests = fixture.checkRequests();
            assertThat(requests.isCorrect()).as(requests.toString()).isTrue();
            assertThat(requests.answered()).isPositive();
            assertThat(fixture.outcomes())
                    .extracting(RequestOutcome::kind)
                    .doesNotContain(RequestOutcome.Kind.MISMATCHED);
        }
    }
}
