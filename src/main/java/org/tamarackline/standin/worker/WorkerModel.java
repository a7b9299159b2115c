package org.tamarackline.standin.worker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.Refusal;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.task.WorkerProtocol.UsageSample;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.standin.worker.RunInterval.RunOutcome;

/**
 * Rules of the worker stand-in: its lease, epochs, attempts and capacity, and the progress of its simulated tasks.
 *
 * <p>Every call first advances the tasks to the current time, so a worker that was paused past the end of its lease ends
 * its tasks before it responds. Thread-safe.
 */
final class WorkerModel {

    private static final long MEASUREMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int FULL_SPEED_PERCENT = 100;

    private final Resources capacity;
    private final Duration usageLag;
    private final MonotonicClock clock;
    private final Supplier<String> nonceSupplier;

    private final Map<ShardId, Epoch> highestEpochs = new HashMap<>();
    private final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    private final Map<TaskId, Integer> highestAttempts = new HashMap<>();
    private final List<RunInterval> endedRuns = new ArrayList<>();
    private Optional<IssuedNonce> currentNonce = Optional.empty();
    private Optional<WorkerLease> lease = Optional.empty();
    private long lastAdvanceNanos;
    private long lastMeasurementNanos;

    WorkerModel(Resources capacity, Duration usageLag, MonotonicClock clock, Supplier<String> nonces) {
        this.capacity = capacity;
        this.usageLag = usageLag;
        this.clock = clock;
        this.nonceSupplier = nonces;
        this.lastAdvanceNanos = clock.nowNanos();
        this.lastMeasurementNanos = lastAdvanceNanos;
    }

    synchronized RenewResponse renew(RenewRequest request) throws CommandRefusedException {
        long nowNanos = advance();
        checkEpoch(request.shard(), request.epoch());
        LeaseHolder holder = new LeaseHolder(request.shard(), request.epoch());
        currentNonce
                .filter(issued -> issued.isUsedBy(request, holder))
                .ifPresent(issued -> extendLease(holder, issued, request.leaseMs()));
        IssuedNonce nextNonce = new IssuedNonce(nonceSupplier.get(), holder, nowNanos);
        currentNonce = Optional.of(nextNonce);
        List<TaskReport> reports =
                tasks.values().stream().map(SimulatedTask::report).toList();
        return new RenewResponse(
                nextNonce.nonce(), isLeaseCurrent(holder, nowNanos), capacity, reports, samples(nowNanos));
    }

    /**
     * Starts an attempt.
     *
     * @param resumedWorkMs work saved in the checkpoint, in milliseconds
     * @param failure reason why the start must fail, empty if it may succeed
     */
    synchronized TaskReport start(StartRequest request, long resumedWorkMs, Optional<String> failure)
            throws CommandRefusedException {
        long nowNanos = advance();
        checkEpoch(request.shard(), request.epoch());
        Optional<SimulatedTask> existing = Optional.ofNullable(tasks.get(request.taskId()));
        if (existing.isPresent() && isDuplicate(existing.get(), request)) {
            return existing.get().report();
        }
        checkAttempt(request, existing);
        if (!isLeaseCurrent(new LeaseHolder(request.shard(), request.epoch()), nowNanos)) {
            throw refusal(
                    request.shard(),
                    RefusalCode.NO_LEASE,
                    "no current lease of this shard and epoch: renew it before a start");
        }
        highestAttempts.put(request.taskId(), request.attempt());
        if (failure.isPresent()) {
            throw refusal(request.shard(), RefusalCode.START_FAILED, failure.get());
        }
        if (!reservedResources().plus(request.resources()).fitsIn(capacity)) {
            throw refusal(
                    request.shard(), RefusalCode.OVER_CAPACITY, "the task does not fit into the remaining capacity");
        }
        SimulatedTask task = new SimulatedTask(request, parse(request), nowNanos, resumedWorkMs);
        existing.map(SimulatedTask::interval).ifPresent(endedRuns::add);
        tasks.put(request.taskId(), task);
        return task.report();
    }

    /** Returns the checkpoint to store for a running task. */
    synchronized Upload checkpoint(TaskCommand command) throws CommandRefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = requireRunning(command);
        return new Upload(task.id(), task.attempt(), Upload.Kind.CHECKPOINT, task.workDoneMs());
    }

    synchronized TaskReport throttle(TaskCommand command) throws CommandRefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = requireRunning(command);
        task.throttle(command.percent());
        return task.report();
    }

    synchronized TaskReport stop(TaskCommand command) throws CommandRefusedException {
        long nowNanos = advance();
        checkEpoch(command.shard(), command.epoch());
        highestAttempts.merge(command.taskId(), command.attempt(), Math::max);
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() > command.attempt()) {
            return stoppedReport(command);
        }
        if (task.isRunning()) {
            task.end(RunOutcome.STOPPED, nowNanos, false);
        }
        return task.report();
    }

    synchronized TaskReport forget(TaskCommand command) throws CommandRefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() != command.attempt()) {
            return stoppedReport(command);
        }
        if (task.isRunning()) {
            throw refusal(command.shard(), RefusalCode.INVALID, "a running task must be stopped before it is removed");
        }
        endedRuns.add(task.interval());
        tasks.remove(command.taskId());
        return task.report();
    }

    /** Returns the report of an attempt, empty if the worker does not know it. */
    synchronized Optional<TaskReport> report(TaskId taskId, int attempt) {
        return Optional.ofNullable(tasks.get(taskId))
                .filter(task -> task.attempt() == attempt)
                .map(SimulatedTask::report);
    }

    /** Returns the results and final checkpoints that are not stored yet. */
    synchronized List<Upload> pendingUploads() {
        advance();
        List<Upload> uploads = new ArrayList<>();
        for (SimulatedTask task : tasks.values()) {
            if (task.isRunning() && task.isWorkDone()) {
                uploads.add(new Upload(task.id(), task.attempt(), Upload.Kind.RESULT, task.workDoneMs()));
            } else if (task.isFinalCheckpointPending()) {
                uploads.add(new Upload(task.id(), task.attempt(), Upload.Kind.CHECKPOINT, task.workDoneMs()));
            }
        }
        return uploads;
    }

    /** Records that an object was stored. A task ends as done when its result is stored. */
    synchronized void recordUpload(Upload upload) {
        long nowNanos = advance();
        SimulatedTask task = tasks.get(upload.taskId());
        if (task == null || task.attempt() != upload.attempt()) {
            return;
        }
        if (upload.kind() == Upload.Kind.CHECKPOINT) {
            task.recordCheckpoint(upload.key());
        } else if (task.isRunning()) {
            task.recordResult(upload.key());
            task.end(RunOutcome.DONE, nowNanos, false);
        }
    }

    /** Returns every run since the worker started. */
    synchronized List<RunInterval> history() {
        advance();
        List<RunInterval> runs = new ArrayList<>(endedRuns);
        tasks.values().forEach(task -> runs.add(task.interval()));
        return runs;
    }

    /** Advances the tasks to the current time, ends them if the lease has expired, and returns the current time. */
    synchronized long advance() {
        long nowNanos = clock.nowNanos();
        long workUntilNanos = lease.map(WorkerLease::endNanos)
                .filter(endNanos -> endNanos - nowNanos < 0)
                .orElse(nowNanos);
        long elapsedNanos = Math.max(0, workUntilNanos - lastAdvanceNanos);
        runningTasks().forEach(task -> task.addWork(elapsedNanos, speedPercent(task)));
        endFailedTasks(nowNanos);
        if (lease.isEmpty() || lease.get().endNanos() - nowNanos <= 0) {
            runningTasks()
                    .forEach(task -> task.end(RunOutcome.LEASE_LAPSED, workUntilNanos, task.isCheckpointAllowed()));
        }
        lastAdvanceNanos = nowNanos;
        measure(nowNanos);
        return nowNanos;
    }

    private void endFailedTasks(long nowNanos) {
        runningTasks().stream()
                .filter(task -> task.isWorkDone() && task.command().exitCode() != 0)
                .forEach(task -> task.end(RunOutcome.FAILED, nowNanos, false));
    }

    private void measure(long nowNanos) {
        if (nowNanos - lastMeasurementNanos >= MEASUREMENT_INTERVAL_NANOS) {
            lastMeasurementNanos = nowNanos;
            runningTasks().forEach(task -> task.measure(nowNanos));
        }
    }

    private List<UsageSample> samples(long nowNanos) {
        long maxTakenNanos = nowNanos - usageLag.toNanos();
        return runningTasks().stream()
                .flatMap(task -> task.latestSample(nowNanos, maxTakenNanos).stream())
                .toList();
    }

    /** Returns the speed of a task, given its throttle, the interference of other tasks and the shared processors. */
    private int speedPercent(SimulatedTask task) {
        long demandedMillis = 0;
        double speed = task.throttlePercent();
        for (SimulatedTask other : runningTasks()) {
            demandedMillis += other.command().used().processorMillis();
            if (other != task) {
                speed *= 1 - other.command().interferencePercent() / (double) FULL_SPEED_PERCENT;
            }
        }
        if (demandedMillis > capacity.processorMillis()) {
            speed *= (double) capacity.processorMillis() / demandedMillis;
        }
        return Math.max(1, (int) speed);
    }

    private List<SimulatedTask> runningTasks() {
        return tasks.values().stream().filter(SimulatedTask::isRunning).toList();
    }

    private Resources reservedResources() {
        return runningTasks().stream().map(SimulatedTask::declared).reduce(Resources.NONE, Resources::plus);
    }

    /** Counts the lease from the issue of the nonce, so that a delayed renewal does not extend it. */
    private void extendLease(LeaseHolder holder, IssuedNonce issued, long leaseMs) {
        lease = Optional.of(new WorkerLease(holder, issued.issuedNanos() + TimeUnit.MILLISECONDS.toNanos(leaseMs)));
    }

    private boolean isLeaseCurrent(LeaseHolder holder, long nowNanos) {
        return lease.filter(current -> current.holder().equals(holder) && current.endNanos() - nowNanos > 0)
                .isPresent();
    }

    private void checkEpoch(ShardId shard, Epoch epoch) throws CommandRefusedException {
        Epoch highest = highestEpochs.getOrDefault(shard, epoch);
        if (epoch.compareTo(highest) < 0) {
            throw refusal(shard, RefusalCode.FENCED, "the worker has received a higher epoch of the shard");
        }
        highestEpochs.put(shard, epoch);
    }

    private static boolean isDuplicate(SimulatedTask task, StartRequest request) {
        return task.attempt() == request.attempt() && task.report().state() != TaskReportState.STOPPED;
    }

    private void checkAttempt(StartRequest request, Optional<SimulatedTask> existing) throws CommandRefusedException {
        int highest = highestAttempts.getOrDefault(request.taskId(), -1);
        if (request.attempt() <= highest) {
            throw refusal(
                    request.shard(),
                    RefusalCode.ATTEMPT_FORBIDDEN,
                    "attempt %d was already started, refused or stopped".formatted(highest));
        }
        if (existing.filter(SimulatedTask::isRunning).isPresent()) {
            throw refusal(request.shard(), RefusalCode.ATTEMPT_FORBIDDEN, "an earlier attempt is still running");
        }
    }

    private SimulatedCommand parse(StartRequest request) throws CommandRefusedException {
        try {
            return SimulatedCommand.parse(request.command(), request.resources());
        } catch (IllegalArgumentException invalid) {
            throw refusal(request.shard(), RefusalCode.START_FAILED, invalid.getMessage());
        }
    }

    private SimulatedTask requireRunning(TaskCommand command) throws CommandRefusedException {
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() != command.attempt() || !task.isRunning()) {
            throw refusal(command.shard(), RefusalCode.UNKNOWN_TASK, "the attempt is not running on this worker");
        }
        return task;
    }

    private CommandRefusedException refusal(ShardId shard, RefusalCode code, String detail) {
        return new CommandRefusedException(new Refusal(code, detail, highestEpochs.getOrDefault(shard, new Epoch(0))));
    }

    /** Returns the report of an attempt that is not known here, which counts as stopped. */
    private static TaskReport stoppedReport(TaskCommand command) {
        return new TaskReport(
                command.taskId(),
                command.attempt(),
                TaskReportState.STOPPED,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0);
    }

    private record LeaseHolder(ShardId shard, Epoch epoch) {}

    private record WorkerLease(LeaseHolder holder, long endNanos) {}

    private record IssuedNonce(String nonce, LeaseHolder holder, long issuedNanos) {

        /** Returns whether the request has this nonce and comes from the holder to which the nonce was issued. */
        boolean isUsedBy(RenewRequest request, LeaseHolder sender) {
            return holder.equals(sender) && request.nonce().equals(Optional.of(nonce));
        }
    }
}
