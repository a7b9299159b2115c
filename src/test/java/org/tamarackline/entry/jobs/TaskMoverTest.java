package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.task.TaskState;

import static org.assertj.core.api.Assertions.assertThat;

class TaskMoverTest {

    private static final Resources WORKER_SIZE = new Resources(16_000, 60_000, 0);

    /** Guards against a moved task that keeps running after its job was cancelled. */
    @Test
    void cancelsTasksWhereverTheyWereMoved() throws Exception {
        JobsFixture fixture = new JobsFixture();
        fixture.addWorker("w1", "1", WORKER_SIZE);
        fixture.addWorker("w2", "2", WORKER_SIZE);
        fixture.run(Duration.ofSeconds(2));
        JobView job = fixture.submit(JobsFixture.submission(
                BuiltInProfiles.OVERNIGHT_PLAN.name(), 20, 600_000, new Resources(4_000, 1_000, 0)));
        boolean moved = false;
        for (int i = 0; i < 200 && !moved; i++) {
            fixture.run(Duration.ofMillis(50));
            moved = !fixture.workers.get("w1").running().isEmpty()
                    && !fixture.workers.get("w2").running().isEmpty();
        }
        assertThat(moved).isTrue();
        fixture.cancel(job);
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.get(job).counts()).containsOnly(Map.entry(TaskState.CANCELLED, 20));
        assertThat(fixture.workers.get("w1").running()).isEmpty();
        assertThat(fixture.workers.get("w2").running()).isEmpty();
    }

    /** Guards against tasks that are moved back and forth between two full racks. */
    @Test
    void movesATaskOnlyToFreeCapacity() throws Exception {
        JobsFixture fixture = new JobsFixture();
        fixture.addWorker("w1", "1", WORKER_SIZE);
        fixture.addWorker("w2", "2", WORKER_SIZE);
        fixture.run(Duration.ofSeconds(2));
        fixture.submit(JobsFixture.submission(
                BuiltInProfiles.OVERNIGHT_PLAN.name(), 50, 600_000, new Resources(4_000, 1_000, 0)));
        fixture.run(Duration.ofSeconds(60));
        int writes = fixture.platform.writes();
        fixture.run(Duration.ofSeconds(60));
        assertThat(fixture.platform.writes() - writes).isLessThan(5);
    }
}
