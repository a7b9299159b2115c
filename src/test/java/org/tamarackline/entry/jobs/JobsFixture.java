package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.store.TableTransaction;

/** Fixture of one node that owns racks of in-memory workers, with a manual clock. */
final class JobsFixture {

    static final CallerName CALLER = new CallerName("lianhua");
    static final TeamName TEAM = new TeamName("dyeing");
    private static final Duration RUN_INTERVAL = Duration.ofMillis(50);
    private static final int INTERVALS_PER_TICK = 5;

    final ManualClock clock = new ManualClock();
    final FakePlatform platform = new FakePlatform();
    final FakeWorkers workers = new FakeWorkers();
    final FakeNode node = new FakeNode("10.0.0.1:1", platform, workers, clock);
    private final List<VmRecord> vms = new ArrayList<>();

    /** Adds a worker, and its rack if this is the first worker of the rack. */
    FakeWorker addWorker(String id, String rack, Resources size) throws Exception {
        VmRecord vm = new VmRecord(id, "worker", id, new DataCentre("a"), rack, VmRecord.State.LIVE, 0, 0, size);
        ShardId shard = new ShardId("rack:a:" + rack);
        if (node.cluster.ownedEpoch(shard).isEmpty()) {
            writeShardRow(shard);
            node.acquire(shard, 1);
        }
        vms.add(vm);
        node.runWithImmediateLoop(() -> node.racks.setVms(vms));
        return workers.add(id, size, clock, FakeWorker.Defect.NONE);
    }

    private void writeShardRow(ShardId shard) throws Exception {
        String key = node.context.rowFormat().shardKey(shard);
        ObjectNode row = JsonNodeFactory.instance.objectNode().put("epoch", 1);
        platform.transact(new TableTransaction(
                UUID.randomUUID().toString(),
                List.of(new TableTransaction.Check(key, 0)),
                List.of(new TableTransaction.Write(key, row))));
    }

    void run(Duration duration) {
        int intervals = 0;
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plus(RUN_INTERVAL)) {
            clock.advance(RUN_INTERVAL);
            if (intervals++ % INTERVALS_PER_TICK == 0) {
                node.tick();
            }
            node.runUntilIdle();
        }
    }

    static Submission submission(ProfileName profile, int tasks, long workMs, Resources size) {
        ObjectNode command = JsonNodeFactory.instance.objectNode().put("workMs", workMs);
        return new Submission(TEAM, profile, tasks, command, size, Optional.empty());
    }

    JobView submit(Submission submission) throws JobRefusedException {
        return call(() -> node.service.submit(CALLER, submission));
    }

    JobView get(JobView job) throws JobRefusedException {
        return call(() -> node.service.get(CALLER, job.id()));
    }

    JobView cancel(JobView job) throws JobRefusedException {
        return call(() -> node.service.cancel(CALLER, job.id()));
    }

    /** Call of the job service, the resource or the rack manager. */
    @FunctionalInterface
    interface ServiceCall<T> {
        T run() throws JobRefusedException;
    }

    /** Runs a call during which the loop executes actions immediately. */
    <T> T call(ServiceCall<T> call) throws JobRefusedException {
        List<T> results = new ArrayList<>();
        List<JobRefusedException> failures = new ArrayList<>();
        node.runWithImmediateLoop(() -> {
            try {
                results.add(call.run());
            } catch (JobRefusedException e) {
                failures.add(e);
            }
        });
        if (!failures.isEmpty()) {
            throw failures.getFirst();
        }
        return results.getFirst();
    }
}
