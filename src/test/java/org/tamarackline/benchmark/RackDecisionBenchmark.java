package org.tamarackline.benchmark;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.SpreadPolicy;
import org.tamarackline.core.task.RackMode;
import org.tamarackline.core.task.RackScheduler;
import org.tamarackline.core.task.RackSettings;
import org.tamarackline.core.task.Renewal;
import org.tamarackline.core.task.RowChange;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.TaskSpec;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;

/**
 * Measures the time to place one task while the workers and running tasks of a whole fleet are in memory.
 *
 * <p>A placement considers one rack only, so the time must not grow with the fleet, except by cache misses.
 */
@State(Scope.Benchmark)
@BenchmarkMode({Mode.SampleTime, Mode.Throughput})
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
public class RackDecisionBenchmark {

    private static final int WORKERS_PER_RACK = 8;
    private static final int TASKS_PER_WORKER = 27;
    private static final Resources WORKER_SIZE = new Resources(16_000, 60_000, 2);
    private static final Resources TASK_SIZE = new Resources(400, 1_500, 0);
    private static final RackSettings RACK_SETTINGS =
            new RackSettings(Duration.ofSeconds(3), Duration.ofSeconds(20), Duration.ofMillis(500), 3, 5);

    /** Number of workers in the fleet. */
    @Param({"30", "100", "300", "1000"})
    int workers;

    private List<RackScheduler> racks;
    private long placedTasks;

    /** Creates the racks and fills them with running tasks. */
    @Setup
    public void createRacks() {
        racks = new ArrayList<>();
        int rackCount = Math.ceilDiv(workers, WORKERS_PER_RACK);
        for (int rack = 0; rack < rackCount; rack++) {
            racks.add(filledRack(rack));
        }
    }

    private static RackScheduler filledRack(int rack) {
        RackScheduler scheduler = new RackScheduler(RACK_SETTINGS, () -> 0L, new SpreadPolicy(), new EvictionPlanner());
        scheduler.configure(Configuration.initial());
        Set<WorkerId> workerIds = new TreeSet<>();
        for (int worker = 0; worker < WORKERS_PER_RACK; worker++) {
            workerIds.add(new WorkerId("w" + rack + "-" + worker));
        }
        scheduler.setWorkers(workerIds, Set.of());
        List<VersionedRow> rows = new ArrayList<>();
        for (WorkerId worker : workerIds) {
            for (int task = 0; task < TASKS_PER_WORKER; task++) {
                rows.add(new VersionedRow(runningTask(worker, task), 1));
            }
        }
        scheduler.load(rows);
        renewLeases(scheduler, rows);
        renewLeases(scheduler, rows);
        return scheduler;
    }

    private static void renewLeases(RackScheduler scheduler, List<VersionedRow> rows) {
        for (Renewal renewal : scheduler.dueRenewals()) {
            List<TaskReport> reports = rows.stream()
                    .map(VersionedRow::row)
                    .filter(row -> row.isOn(renewal.worker()))
                    .map(row -> new TaskReport(
                            row.task(),
                            row.attempt(),
                            TaskReportState.RUNNING,
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            0))
                    .toList();
            scheduler.handleRenewal(renewal, new RenewResponse("n", true, WORKER_SIZE, reports, List.of()));
        }
    }

    private static TaskRow runningTask(WorkerId worker, int index) {
        TaskRow pending = submittedTask(new TaskId(new JobId("job-" + worker.value()), index));
        return new TaskRow(
                pending.task(),
                pending.spec(),
                TaskState.RUNNING,
                1,
                Optional.of(worker),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                TaskRow.Work.NONE);
    }

    private static TaskRow submittedTask(TaskId task) {
        TaskSpec spec = new TaskSpec(
                new CallerName("nile leaf"),
                new TeamName("dosing"),
                BuiltInProfiles.OVERNIGHT_PLAN.name(),
                TASK_SIZE,
                JsonNodeFactory.instance.objectNode().put("workMs", 60_000));
        return TaskRow.submitted(task, spec);
    }

    /** Submits a task, places it and reverts the placement, so that every call starts from the same state. */
    @Benchmark
    public List<RowChange> placeOneTask() {
        RackScheduler scheduler = racks.get((int) (placedTasks % racks.size()));
        TaskId task = new TaskId(new JobId("new"), (int) (placedTasks % Integer.MAX_VALUE));
        placedTasks++;
        scheduler.load(List.of(new VersionedRow(submittedTask(task), 1)));
        scheduler.tick(RackMode.ACTIVE);
        List<RowChange> changes = scheduler.nextBatch(1);
        if (changes.isEmpty()) {
            throw new IllegalStateException("task was not placed: the rack has no current lease or no capacity");
        }
        scheduler.handleCommitFailure(changes);
        scheduler.removeMoved(List.of(task));
        return changes;
    }
}
