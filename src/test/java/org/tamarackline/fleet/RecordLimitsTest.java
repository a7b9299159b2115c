package org.tamarackline.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;

import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a job is carried to its end whose progress exceeds a record of the store, and that others go on. */
class RecordLimitsTest {

    private static final int RUNNERS = 24;
    private static final int RUNS_PER_RUNNER = 110;

    private final LeaderFixture fixture = new LeaderFixture(RUNNERS, RUNS_PER_RUNNER);

    private void run(Duration duration) {
        fixture.advance(duration);
    }

    /** Guards against lasting tasks that never start, of this job and of later ones, as its record became too large. */
    @Test
    void allTasksOfALargeLastingJobAndALaterJobStart() {
        fixture.setPlans(task -> new ProtocolRunner.RunPlan(Duration.ofDays(1), EndReason.DONE));
        fixture.startLeader();
        fixture.submit(JobDefinitions.longRunningTasks("large", 2_500));
        run(Duration.ofSeconds(30));
        fixture.submit(JobDefinitions.longRunningTasks("later", 2));
        run(Duration.ofSeconds(5));
        assertThat(new HashSet<>(fixture.runningTasksOf("large"))).hasSize(2_500);
        assertThat(fixture.runningTasksOf("later")).hasSize(2);
        assertThat(fixture.store().rejections()).isZero();
    }

    /** Guards against a scheduled job that never completes, and blocks others, once its record is too large. */
    @Test
    void scheduledJobOfManyTasksCompletes() {
        fixture.startLeader();
        fixture.submit(JobDefinitions.scheduled("scheduled", 10, 1_000, 50));
        run(Duration.ofSeconds(45));
        fixture.submit(JobDefinitions.tasks("later", 2, 100));
        run(Duration.ofSeconds(2));
        assertThat(fixture.storedAsFinished("later")).isTrue();
        run(Duration.ofSeconds(20));
        assertThat(fixture.storedAsFinished("scheduled")).isTrue();
        assertThat(fixture.startsOf("scheduled")).hasSize(10_000).doesNotHaveDuplicates();
        assertThat(fixture.progressKeysOf("scheduled")).isEmpty();
        assertThat(fixture.store().rejections()).isZero();
    }

    /** Guards against tasks that are run again by a successor, as it reads only some records of the progress. */
    @Test
    void successorsContinueALargeJob() {
        fixture.startLeader();
        fixture.submit(JobDefinitions.scheduled("scheduled", 10, 400, 50));
        run(Duration.ofSeconds(8));
        fixture.startLeader();
        run(Duration.ofSeconds(8));
        fixture.startLeader();
        run(Duration.ofSeconds(30));
        assertThat(fixture.storedAsFinished("scheduled")).isTrue();
        assertThat(fixture.startsOf("scheduled")).hasSize(4_000).doesNotHaveDuplicates();
        assertThat(fixture.progressKeysOf("scheduled")).isEmpty();
    }

    /** Guards against a repetition of tasks whose completion an earlier version stored, in one record for all tasks. */
    @Test
    void progressOfAnEarlierVersionIsContinuedByEachSuccessor() throws IOException {
        fixture.setPlans(task -> new ProtocolRunner.RunPlan(Duration.ofSeconds(3), EndReason.DONE));
        fixture.submit(JobDefinitions.tasks("inherited", 4_000, 3_000));
        fixture.write(RecordStore.Table.PROGRESS, "inherited", progressOfAnEarlierVersion(3_000));
        for (int i = 0; i < 3; i++) {
            fixture.startLeader();
            run(Duration.ofSeconds(4));
        }
        run(Duration.ofSeconds(30));
        assertThat(fixture.startsOf("inherited"))
                .hasSize(1_000)
                .doesNotHaveDuplicates()
                .allMatch(task -> task.index() >= 3_000);
        assertThat(fixture.storedAsFinished("inherited")).isTrue();
    }

    /** Returns a record of which the first tasks of a step are done, as versions before the chunks wrote it. */
    private static byte[] progressOfAnEarlierVersion(int doneTasks) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(1);
            packer.packArrayHeader(doneTasks);
            for (int index = 0; index < doneTasks; index++) {
                packer.packInt(0).packInt(0).packInt(index).packBoolean(true);
                packer.packArrayHeader(0).packString("").packArrayHeader(0);
            }
            return packer.toByteArray();
        }
    }

    /** Guards against a record that the store rejects for good and that thereby keeps all others from being stored. */
    @Test
    void rejectedProgressCostsOnlyItsJob() {
        fixture.setPlans(RecordLimitsTest::shortUnlessLasting);
        fixture.store()
                .setRejectedWrites(write -> write.table() == RecordStore.Table.PROGRESS
                        && write.key().equals("rejected")
                        && write.value() != null);
        fixture.startLeader();
        for (int i = 0; i < 30; i++) {
            fixture.submit(JobDefinitions.tasks("other" + i, 3, 100));
        }
        fixture.submit(JobDefinitions.tasks("rejected", 60, 100));
        fixture.submit(JobDefinitions.longRunningTasks("rejected-lasting", 1));
        run(Duration.ofSeconds(6));
        fixture.submit(JobDefinitions.tasks("later", 3, 100));
        fixture.submit(JobDefinitions.longRunningTasks("lasting", 2));
        run(Duration.ofSeconds(6));
        for (int i = 0; i < 30; i++) {
            assertThat(fixture.storedAsFinished("other" + i)).isTrue();
        }
        assertThat(fixture.storedAsFinished("later")).isTrue();
        assertThat(fixture.runningTasksOf("lasting")).hasSize(2);
        assertThat(fixture.acknowledgedEndsOf("later")).hasSize(3);
        assertThat(fixture.acknowledgedEndsOf("rejected")).hasSize(60);
        assertThat(fixture.store().rejections())
                .as("rejected transactions in 12 s")
                .isLessThan(30);
        assertThat(fixture.loggedLines("change-isolated")).isBetween(1L, 4L);
    }

    private static ProtocolRunner.RunPlan shortUnlessLasting(TaskKey task) {
        boolean lasting = task.job().contains("lasting");
        return new ProtocolRunner.RunPlan(lasting ? Duration.ofDays(1) : Duration.ofMillis(100), EndReason.DONE);
    }

    /** Guards against a task that runs again after a change of leader, while the store rejects the progress of its job. */
    @Test
    void successorKnowsTheEndsOfAJobWhoseProgressIsRejected() {
        fixture.setPlans(task ->
                new ProtocolRunner.RunPlan(Duration.ofMillis(task.index() < 10 ? 100 : 20_000), EndReason.DONE));
        fixture.store()
                .setRejectedWrites(write -> write.key().equals("rejected")
                        && write.table() == RecordStore.Table.PROGRESS
                        && write.value() != null);
        fixture.startLeader();
        fixture.submit(JobDefinitions.tasks("rejected", 20, 20_000));
        run(Duration.ofSeconds(4));
        assertThat(fixture.acknowledgedEndsOf("rejected")).hasSize(10);
        fixture.startLeader();
        run(Duration.ofSeconds(4));
        assertThat(fixture.startsOf("rejected")).hasSize(20);
        fixture.store().setRejectedWrites(write -> false);
        run(Duration.ofSeconds(40));
        assertThat(fixture.startsOf("rejected")).hasSize(20);
        assertThat(fixture.storedAsFinished("rejected")).isTrue();
    }

    /** Guards against runners that discard no ends and get no starts, as the store rejects the end of another one's run. */
    @Test
    void rejectedEndCostsOnlyItsRunner() {
        fixture.setPlans(task -> task.equals(new TaskKey("rejected", 0, 0, 1))
                ? new ProtocolRunner.RunPlan(Duration.ofDays(1), EndReason.DONE)
                : shortUnlessLasting(task));
        fixture.store()
                .setRejectedWrites(write -> write.table() == RecordStore.Table.PROGRESS
                        && write.value() != null
                        && (write.key().equals("rejected") || write.key().startsWith("!end/rejected")));
        fixture.startLeader();
        fixture.submit(JobDefinitions.tasks("rejected", 2, 100));
        for (int i = 0; i < 10; i++) {
            run(Duration.ofSeconds(1));
            fixture.submit(JobDefinitions.tasks("other" + i, 48, 100));
        }
        fixture.submit(JobDefinitions.longRunningTasks("lasting", 24));
        run(Duration.ofSeconds(5));
        for (int i = 0; i < 10; i++) {
            assertThat(fixture.storedAsFinished("other" + i)).isTrue();
        }
        assertThat(fixture.runningTasksOf("lasting")).hasSize(24);
        assertThat(fixture.acknowledgedEndsOf("other9")).hasSizeGreaterThan(40);
        assertThat(fixture.acknowledgedEndsOf("rejected")).isEmpty();
        assertThat(fixture.store().rejections())
                .as("rejected transactions in 15 s")
                .isLessThan(60);
    }

    /** Guards against a runner that the store rejects on the roster and that keeps all other changes from being stored. */
    @Test
    void rejectedRosterRecordCostsOnlyItsRunner() {
        fixture.store()
                .setRejectedWrites(write ->
                        write.table() == RecordStore.Table.ROSTER && write.key().endsWith("003"));
        fixture.startLeader();
        fixture.submit(JobDefinitions.tasks("j", 200, 100));
        run(Duration.ofSeconds(6));
        assertThat(fixture.storedAsFinished("j")).isTrue();
        assertThat(fixture.store().table(RecordStore.Table.ROSTER)).hasSize(RUNNERS - 1);
        assertThat(fixture.store().rejections()).isLessThan(20);
    }
}
