package org.tamarackline.process;

import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.core.model.JobId;
import org.tamarackline.load.ChildProcess;
import org.tamarackline.load.HistoryCheck;
import org.tamarackline.load.RequestOutcome;
import org.tamarackline.load.Waits;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against work lost or run twice when a rack's owner is killed, or frozen past its membership lease. */
class KillAndFreezeTest {

    private static final int TASKS = 24;
    private static final int RUNNING_TASKS_AT_FAULT = 4;
    private static final Duration TASK_WORK = Duration.ofSeconds(4);
    private static final Duration LOAD_DURATION = Duration.ofSeconds(20);

    /** Longer than the takeover timeout of 5 s, so that another node takes over during the freeze. */
    private static final Duration FREEZE_DURATION = Duration.ofSeconds(9);

    @TempDir
    private Path directory;

    @Test
    void sigkillOfTheRackOwner() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            int owner = fixture.rackOwner();
            int other = (owner + 1) % ClusterFixture.ENTRY_NODES;
            JobId job = fixture.awaitAccepted(other, TASKS, TASK_WORK);
            Thread load = fixture.startLoad(LOAD_DURATION);
            fixture.awaitRunning(other, job, RUNNING_TASKS_AT_FAULT);
            fixture.cluster().entryNode(owner).kill();
            fixture.awaitDone(other, job);
            load.join();
            assertNothingLostOrRepeated(fixture);
            assertThat(fixture.rackOwner()).isNotEqualTo(owner);
        }
    }

    @Test
    void freezeOfTheRackOwnerPastItsMembershipLease() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            int owner = fixture.rackOwner();
            int other = (owner + 1) % ClusterFixture.ENTRY_NODES;
            JobId job = fixture.awaitAccepted(other, TASKS, TASK_WORK);
            Thread load = fixture.startLoad(LOAD_DURATION);
            fixture.awaitRunning(other, job, RUNNING_TASKS_AT_FAULT);
            ChildProcess frozen = fixture.cluster().entryNode(owner);
            ClusterFixture.freeze(frozen);
            try {
                Thread.sleep(FREEZE_DURATION);
            } finally {
                ClusterFixture.thaw(frozen);
            }
            fixture.awaitDone(other, job);
            load.join();
            assertNothingLostOrRepeated(fixture);
            Waits.until(
                    "the thawed node is ready",
                    ClusterFixture.TIMEOUT,
                    () -> fixture.cluster().isReady(owner));
        }
    }

    private static void assertNothingLostOrRepeated(ClusterFixture fixture) throws Exception {
        HistoryCheck.TaskCounts tasks = fixture.checkTasks();
        assertThat(tasks.isCorrect()).as(tasks.toString()).isTrue();
        HistoryCheck.RequestCounts requests = fixture.checkRequests();
        assertThat(requests.isCorrect()).as(requests.toString()).isTrue();
        assertThat(requests.answered()).isPositive();
        assertThat(fixture.outcomes()).extracting(RequestOutcome::kind).doesNotContain(RequestOutcome.Kind.MISMATCHED);
    }
}
