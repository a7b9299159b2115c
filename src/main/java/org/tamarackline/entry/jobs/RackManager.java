package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.ownership.Shard;
import org.tamarackline.core.ownership.ShardLayout;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;
import org.tamarackline.core.usage.UsageTracker;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.entry.jobs.JobMessages.JobStatusResponse;
import org.tamarackline.entry.jobs.JobMessages.ShardLoad;
import org.tamarackline.entry.jobs.JobMessages.TaskStatusResponse;

/**
 * Creates and drives a {@link RackController} for each rack that this node owns.
 *
 * <p>Its state is used on the loop only. Methods may be called from any thread unless they say otherwise.
 */
final class RackManager implements OwnershipListener {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final long LOOP_TIMEOUT_MS = 5_000;

    private final JobsContext context;
    private final RackLoadCache loads;
    private final RowChangeCommitter committer;
    private final JobWriter writer;
    private final TaskMover taskMover;
    private final Map<ShardId, RackController> racks = new LinkedHashMap<>();
    private ShardLayout layout = ShardLayout.empty();

    RackManager(JobsContext context, RackLoadCache loads) {
        this.context = context;
        this.loads = loads;
        this.committer = new RowChangeCommitter(context);
        this.writer = new JobWriter(context.table(), context.rowFormat());
        this.taskMover = new TaskMover(context, loads, this::requestRescan);
    }

    @Override
    public boolean accepts(ShardId shard) {
        return Shard.isRack(shard);
    }

    @Override
    public void acquired(ShardId shard, Epoch epoch, Origin origin, Optional<JsonNode> handedOver) {
        context.executors().loop().execute(() -> {
            stopRack(shard);
            RackController rack = new RackController(shard, epoch, context);
            racks.put(shard, rack);
            updateWorkers(rack);
            rack.tick();
        });
    }

    @Override
    public JsonNode prepareHandover(ShardId shard) {
        callOnLoop(() -> {
            Optional.ofNullable(racks.get(shard)).ifPresent(RackController::suspendForHandover);
            return true;
        });
        // No state is handed over: the next owner reads it from the rows and from the workers.
        return NullNode.getInstance();
    }

    @Override
    public void lost(ShardId shard) {
        context.executors().loop().execute(() -> stopRack(shard));
    }

    private void stopRack(ShardId shard) {
        Optional.ofNullable(racks.remove(shard)).ifPresent(RackController::stop);
    }

    /** Replaces the VM list and updates the workers of all racks; called on the loop. */
    void setVms(List<VmRecord> vms) {
        layout = ShardLayout.of(vms, context.settings().requests().runnerGroups());
        racks.values().forEach(this::updateWorkers);
    }

    private void updateWorkers(RackController rack) {
        Set<String> outOfService = context.cluster()
                .configuration()
                .map(configuration -> configuration.vmsOutOfService())
                .orElse(Set.of());
        Map<WorkerId, String> addresses = new HashMap<>();
        Set<WorkerId> draining = new HashSet<>();
        for (VmRecord vm : layout.vmsOf(rack.shard())) {
            WorkerId worker = new WorkerId(vm.id());
            addresses.put(worker, vm.address());
            if (vm.state() == VmRecord.State.LEAVING || outOfService.contains(vm.id())) {
                draining.add(worker);
            }
        }
        rack.setWorkers(addresses, draining);
    }

    /**
     * Runs the tick of every rack, then starts the next move of tasks and the next commit if they are due; called on the
     * loop.
     */
    void tick() {
        for (RackController rack : racks.values()) {
            tickSafely(rack);
        }
        loads.setOwned(ownedRackLoads());
        taskMover.moveWaitingTasks(List.copyOf(racks.values()));
        committer.commit(List.copyOf(racks.values()));
    }

    /** Catches exceptions, so that a fault in one rack does not stop the others. */
    private void tickSafely(RackController rack) {
        try {
            updateWorkers(rack);
            rack.scheduler().setClusterCapacity(loads.totalCapacity());
            rack.tick();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("tick of %s failed", rack.shard());
        }
    }

    private List<ShardLoad> ownedRackLoads() {
        return racks.values().stream()
                .filter(RackController::isReady)
                .map(rack -> new ShardLoad(rack.shard(), rack.scheduler().load()))
                .toList();
    }

    /** Writes the rows of a job and schedules its tasks; blocks on the platform. */
    void submit(ShardId shard, JobRow job) throws JobRefusedException {
        long shardRowVersion = callOnLoop(() -> Optional.ofNullable(racks.get(shard))
                        .filter(RackController::isReady)
                        .flatMap(RackController::shardRowVersion))
                .orElseThrow(() -> new JobRefusedException(
                        JobErrorCode.OWNER_UNAVAILABLE,
                        "this node does not schedule %s at the moment; submit again".formatted(shard)));
        List<VersionedRow> written = writer.write(job, shard, shardRowVersion);
        if (written.size() < job.tasks()) {
            // An earlier submission wrote the other rows, so the scan has to read them.
            requestRescan(shard);
            return;
        }
        context.executors()
                .loop()
                .execute(() -> Optional.ofNullable(racks.get(shard)).ifPresent(rack -> rack.addTasks(written)));
    }

    /** Makes a scan of the rows of the rack due now. */
    void requestRescan(ShardId shard) {
        context.executors()
                .loop()
                .execute(() -> Optional.ofNullable(racks.get(shard)).ifPresent(RackController::requestRescan));
    }

    /** Cancels the tasks of the job in the racks of this node and returns how many of them had not ended. */
    int cancel(JobId job) {
        return callOnLoop(() -> racks.values().stream()
                .mapToInt(rack -> rack.scheduler().cancel(job))
                .sum());
    }

    /** Returns the states of the job's tasks in the racks of this node. */
    JobStatusResponse jobStatus(JobId job) {
        return callOnLoop(() -> {
            List<RackController> ready =
                    racks.values().stream().filter(RackController::isReady).toList();
            List<TaskRow> rows = ready.stream()
                    .flatMap(rack -> rack.scheduler().rowsOf(job).stream())
                    .toList();
            return new JobStatusResponse(
                    ready.stream().map(RackController::shard).toList(), countByState(rows), countByParkReason(rows));
        });
    }

    private static Map<TaskState, Integer> countByState(List<TaskRow> rows) {
        Map<TaskState, Integer> counts = new HashMap<>();
        rows.forEach(row -> counts.merge(row.state(), 1, Integer::sum));
        return counts;
    }

    private static Map<ParkReason, Integer> countByParkReason(List<TaskRow> rows) {
        Map<ParkReason, Integer> parked = new HashMap<>();
        rows.forEach(row -> row.parkReason().ifPresent(reason -> parked.merge(reason, 1, Integer::sum)));
        return parked;
    }

    /** Returns the state and outcome of the task; both are empty if no rack of this node holds it. */
    TaskStatusResponse taskStatus(TaskId task) {
        Optional<TaskRow> row = callOnLoop(() -> racks.values().stream()
                .flatMap(rack -> rack.scheduler().row(task).stream())
                .findFirst());
        return new TaskStatusResponse(row.map(TaskRow::state), row.flatMap(TaskRow::outcome));
    }

    /** Returns the usage of the tasks in the racks of this node. */
    List<UsageSource.Line> usage() {
        return callOnLoop(() -> {
            Map<UsageKey, UsageTotals> totals = new TreeMap<>();
            racks.values().stream()
                    .flatMap(rack -> rack.scheduler().rows())
                    .forEach(row ->
                            totals.merge(UsageTracker.keyOf(row), UsageTracker.totalsOfTask(row), UsageTotals::plus));
            return totals.entrySet().stream()
                    .map(entry -> new UsageSource.Line(entry.getKey(), entry.getValue()))
                    .toList();
        });
    }

    /** Returns the entries of the racks for the state dump. */
    List<RackDump> dump() {
        return callOnLoop(() -> {
            List<RackDump> dumps = new ArrayList<>();
            racks.values()
                    .forEach(rack -> dumps.add(new RackDump(
                            rack.shard(),
                            rack.epoch(),
                            rack.isReady(),
                            rack.scheduler().load())));
            return dumps;
        });
    }

    private <T> T callOnLoop(Supplier<T> action) {
        CompletableFuture<T> result = new CompletableFuture<>();
        context.executors().loop().execute(() -> {
            try {
                result.complete(action.get());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return await(result);
    }

    private static <T> T await(CompletableFuture<T> result) {
        try {
            return result.get(LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the loop", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(
                    "action on the loop failed or did not complete within %d ms".formatted(LOOP_TIMEOUT_MS), e);
        }
    }
}
