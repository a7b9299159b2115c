package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.Profiles;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.platform.FakePlatform;
import org.tamarackline.platform.TableTransaction;

import static org.assertj.core.api.Assertions.assertThat;

class JobsEngineTest {

    private static final ShardId RACK = new ShardId("rack:a:1");
    private static final CallerName CALLER = new CallerName("lianhua");
    private static final Resources WORKER_SIZE = new Resources(16_000, 60_000, 0);

    private final ManualClock clock = new ManualClock();
    private final FakePlatform platform = new FakePlatform();
    private final FakeWorkers workers = new FakeWorkers();
    private FakeNode node;

    @BeforeEach
    void setUp() throws Exception {
        workers.add("w1", WORKER_SIZE, clock, FakeWorker.Defect.NONE);
        writeShardRow(1, 0);
        node = newNode("10.0.0.1:1", 1);
        run(Duration.ofSeconds(1));
    }

    private FakeNode newNode(String id, long epoch) {
        FakeNode created = new FakeNode(id, platform, workers, clock);
        created.gain(RACK, epoch);
        created.directly(() -> created.engine.setVms(List.of(vm("w1"))));
        return created;
    }

    static VmRecord vm(String id) {
        return new VmRecord(id, "worker", id, new DataCentre("a"), "1", VmRecord.State.LIVE, 0, 0, WORKER_SIZE);
    }

    private void writeShardRow(long epoch, long version) throws Exception {
        ObjectNode row = JsonNodeFactory.instance.objectNode().put("epoch", epoch);
        String key =
                node == null ? "region/r1/shard/rack:a:1" : node.context.rows().shardKey(RACK);
        platform.transact(new TableTransaction(
                UUID.randomUUID().toString(),
                List.of(new TableTransaction.Check(key, version)),
                List.of(new TableTransaction.Write(key, row))));
    }

    private void run(Duration time) {
        for (long passed = 0; passed < time.toMillis(); passed += 50) {
            clock.advance(Duration.ofMillis(50));
            if (passed % 250 == 0) {
                node.step();
            }
            node.settle();
        }
    }

    private JobView submit(ProfileName profile, int tasks, long workMs, Resources size) {
        ObjectNode command = JsonNodeFactory.instance.objectNode().put("workMs", workMs);
        Submission submission = new Submission(new TeamName("dyeing"), profile, tasks, command, size, Optional.empty());
        JobView[] view = new JobView[1];
        node.directly(() -> {
            try {
                view[0] = node.service.submit(CALLER, submission);
            } catch (JobRefusedException e) {
                throw new AssertionError(e);
            }
        });
        return view[0];
    }

    private JobView watch(JobView job) {
        JobView[] view = new JobView[1];
        node.directly(() -> {
            try {
                view[0] = node.service.watch(CALLER, job.id());
            } catch (JobRefusedException e) {
                throw new AssertionError(e);
            }
        });
        return view[0];
    }

    /** Guards against a break anywhere between submission and the recorded end of the tasks. */
    @Test
    void runsAJobToItsEnd() {
        JobView job = submit(Profiles.OVERNIGHT_PLAN.name(), 10, 2_000, new Resources(1_000, 1_000, 0));
        run(Duration.ofSeconds(12));
        assertThat(watch(job).state()).isEqualTo(JobView.State.DONE);
        assertThat(workers.history).hasSize(10);
    }

    /** Guards against urgent work that waits for batch work to end, and evicted work that does not come back. */
    @Test
    void evictsBatchWorkForUrgentWorkAndResumesItFromItsCheckpoint() {
        JobView batch = submit(Profiles.OVERNIGHT_PLAN.name(), 1, 30_000, new Resources(16_000, 1_000, 0));
        run(Duration.ofSeconds(5));
        assertThat(watch(batch).counts()).containsEntry(TaskState.RUNNING, 1);
        JobView urgent = submit(Profiles.QUICK_ANSWER.name(), 1, 3_000, new Resources(8_000, 1_000, 0));
        run(Duration.ofSeconds(3));
        assertThat(watch(urgent).counts()).containsEntry(TaskState.RUNNING, 1);
        run(Duration.ofSeconds(45));
        assertThat(watch(urgent).state()).isEqualTo(JobView.State.DONE);
        assertThat(watch(batch).state()).isEqualTo(JobView.State.DONE);
        assertThat(workers.history).hasSize(3);
        assertThat(workers.history.get(2).fromMs()).isPositive();
    }
}
