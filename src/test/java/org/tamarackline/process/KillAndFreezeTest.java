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

/** Guards against work lost or run twice when the owner of a rack is killed or frozen past its hold time. */
class KillAndFreezeTest {

    private static final int TASKS = 24;
    private static final int RUNNING_AT_FAULT = 4;
    private static final Duration TASK_WORK = Duration.ofSeconds(4);
    private static final Duration LOAD = Duration.ofSeconds(20);

    /** Longer than the take time of 5 s, so that another node takes over meanwhile. */
    private static final Duration FREEZE = Duration.ofSeconds(9);

    @TempDir
    private Path directory;

    @Test
    void sigkillOfTheRackOwner() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            int owner = fixture.rackOwner();
            int other = (owner + 1) % ClusterFixture.ENTRY_NODES;
            JobId job = fixture.awaitAccepted(other, TASKS, TASK_WORK);
            Thread load = fixture.sendRequests(LOAD);
            fixture.awaitRunning(other, job, RUNNING_AT_FAULT);
            fixture.cluster().entryNode(owner).kill();
            fixture.awaitDone(other, job);
            load.join();
            assertSound(fixture);
            assertThat(fixture.rackOwner()).isNotEqualTo(owner);
        }
    }

    @Test
    void freezeOfTheRackOwnerPastItsHoldTime() throws Exception {
        try (ClusterFixture fixture = ClusterFixture.start(directory)) {
            int owner = fixture.rackOwner();
            int other = (owner + 1) % ClusterFixture.ENTRY_NODES;
            JobId job = fixture.awaitAccepted(other, TASKS, TASK_WORK);
            Thread load = fixture.sendRequests(LOAD);
            fixture.awaitRunning(other, job, RUNNING_AT_FAULT);
            ChildProcess frozen = fixture.cluster().entryNode(owner);
            ClusterFixture.freeze(frozen);
            try {
                Thread.sleep(FREEZE);
            } finally {
                ClusterFixture.thaw(frozen);
            }
            fixture.awaitDone(other, job);
            load.join();
            assertSound(fixture);
            Waits.until(
                    "the thawed node is ready",
                    ClusterFixture.BOUND,
                    () -> fixture.cluster().isReady(owner));
        }
    }

    private static void assertSound(ClusterFixture fixture) throws Exception {
        HistoryCheck.TaskCounts tasks = fixture.checkTasks();
        assertThat(tasks.isCorrect()).as(tasks.toString()).isTrue();
        HistoryCheck.RequestCounts requests = fixture.checkRequests();
        assertThat(requests.isCorrect()).as(requests.toString()).isTrue();
        assertThat(requests.answered()).isPositive();
        assertThat(fixture.outcomes()).extracting(RequestOutcome::kind).doesNotContain(RequestOutcome.Kind.MISMATCHED);
    }
}
