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
import org.tamarackline.standin.worker.RunInterval.Outcome;

/**
 * The rules of a worker: lease, epochs, attempts, capacity and the progress of simulated tasks.
 *
 * <p>Every call first moves the tasks to the present, so a worker that was paused past its lease ends its tasks before it
 * answers. Safe for use by several threads.
 */
final class WorkerModel {

    private static final long MEASUREMENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int FULL_SPEED_PERCENT = 100;

    private final Resources capacity;
    private final Duration usageLag;
    private final MonotonicClock clock;
    private final Supplier<String> nonces;

    private final Map<ShardId, Epoch> highestEpochs = new HashMap<>();
    private final Map<TaskId, SimulatedTask> tasks = new LinkedHashMap<>();
    private final Map<TaskId, Integer> highestAttempts = new HashMap<>();
    private final List<RunInterval> endedRuns = new ArrayList<>();
    private Optional<IssuedNonce> currentNonce = Optional.empty();
    private Optional<Lease> lease = Optional.empty();
    private long advancedNanos;
    private long measuredNanos;

    WorkerModel(Resources capacity, Duration usageLag, MonotonicClock clock, Supplier<String> nonces) {
        this.capacity = capacity;
        this.usageLag = usageLag;
        this.clock = clock;
        this.nonces = nonces;
        this.advancedNanos = clock.nowNanos();
        this.measuredNanos = advancedNanos;
    }

    synchronized RenewResponse renew(RenewRequest request) throws RefusedException {
        long nowNanos = advance();
        checkEpoch(request.shard(), request.epoch());
        Holder holder = new Holder(request.shard(), request.epoch());
        currentNonce
                .filter(issued -> issued.isNamedBy(request, holder))
                .ifPresent(issued -> extendLease(holder, issued, request.leaseMs()));
        IssuedNonce next = new IssuedNonce(nonces.get(), holder, nowNanos);
        currentNonce = Optional.of(next);
        List<TaskReport> reports =
                tasks.values().stream().map(SimulatedTask::report).toList();
        return new RenewResponse(next.nonce(), isLeaseCurrent(holder, nowNanos), capacity, reports, samples(nowNanos));
    }

    /**
     * Starts an attempt.
     *
     * @param resumedWorkMs work that the checkpoint holds
     * @param failure why the start is to fail, empty if it may succeed
     */
    synchronized TaskReport start(StartRequest request, long resumedWorkMs, Optional<String> failure)
            throws RefusedException {
        long nowNanos = advance();
        checkEpoch(request.shard(), request.epoch());
        Optional<SimulatedTask> known = Optional.ofNullable(tasks.get(request.taskId()));
        if (known.isPresent() && isRepeat(known.get(), request)) {
            return known.get().report();
        }
        checkAttempt(request, known);
        if (!isLeaseCurrent(new Holder(request.shard(), request.epoch()), nowNanos)) {
            throw refused(request.shard(), RefusalCode.NO_LEASE, "renew the lease under this epoch before a start");
        }
        highestAttempts.put(request.taskId(), request.attempt());
        if (failure.isPresent()) {
            throw refused(request.shard(), RefusalCode.START_FAILED, failure.get());
        }
        if (!declaredSize().plus(request.resources()).fitsIn(capacity)) {
            throw refused(request.shard(), RefusalCode.OVER_CAPACITY, "the task does not fit beside what runs");
        }
        SimulatedTask task = new SimulatedTask(request, parse(request), nowNanos, resumedWorkMs);
        known.map(SimulatedTask::interval).ifPresent(endedRuns::add);
        tasks.put(request.taskId(), task);
        return task.report();
    }

    /** Returns the checkpoint to be written for a running task. */
    synchronized Upload checkpoint(TaskCommand command) throws RefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = running(command);
        return new Upload(task.id(), task.attempt(), Upload.Kind.CHECKPOINT, task.workDoneMs());
    }

    synchronized TaskReport throttle(TaskCommand command) throws RefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = running(command);
        task.throttle(command.percent());
        return task.report();
    }

    synchronized TaskReport stop(TaskCommand command) throws RefusedException {
        long nowNanos = advance();
        checkEpoch(command.shard(), command.epoch());
        highestAttempts.merge(command.taskId(), command.attempt(), Math::max);
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() > command.attempt()) {
            return neverRan(command);
        }
        if (task.isRunning()) {
            task.end(Outcome.STOPPED, nowNanos, false);
        }
        return task.report();
    }

    synchronized TaskReport forget(TaskCommand command) throws RefusedException {
        advance();
        checkEpoch(command.shard(), command.epoch());
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() != command.attempt()) {
            return neverRan(command);
        }
        if (task.isRunning()) {
            throw refused(command.shard(), RefusalCode.INVALID, "stop the task before it is forgotten");
        }
        endedRuns.add(task.interval());
        tasks.remove(command.taskId());
        return task.report();
    }

    /** Returns the report of an attempt that is still in the list. */
    synchronized Optional<TaskReport> report(TaskId taskId, int attempt) {
        return Optional.ofNullable(tasks.get(taskId))
                .filter(task -> task.attempt() == attempt)
                .map(SimulatedTask::report);
    }

    /** Returns results and last checkpoints that are still to be written. */
    synchronized List<Upload> pendingUploads() {
        advance();
        List<Upload> uploads = new ArrayList<>();
        for (SimulatedTask task : tasks.values()) {
            if (task.isRunning() && task.isWorkDone()) {
                uploads.add(new Upload(task.id(), task.attempt(), Upload.Kind.RESULT, task.workDoneMs()));
            } else if (task.isFinalCheckpointWanted()) {
                uploads.add(new Upload(task.id(), task.attempt(), Upload.Kind.CHECKPOINT, task.workDoneMs()));
            }
        }
        return uploads;
    }

    /** Records that an object was written; a task whose result is stored is done. */
    synchronized void uploaded(Upload upload) {
        long nowNanos = advance();
        SimulatedTask task = tasks.get(upload.taskId());
        if (task == null || task.attempt() != upload.attempt()) {
            return;
        }
        if (upload.kind() == Upload.Kind.CHECKPOINT) {
            task.checkpointStored(upload.key());
        } else if (task.isRunning()) {
            task.resultStored(upload.key());
            task.end(Outcome.DONE, nowNanos, false);
        }
    }

    /** Returns every run since the worker started. */
    synchronized List<RunInterval> history() {
        advance();
        List<RunInterval> runs = new ArrayList<>(endedRuns);
        tasks.values().forEach(task -> runs.add(task.interval()));
        return runs;
    }

    /** Moves the tasks to the present and ends those whose lease has lapsed. Returns the present. */
    synchronized long advance() {
        long nowNanos = clock.nowNanos();
        long workUntilNanos = lease.map(Lease::endNanos)
                .filter(endNanos -> endNanos - nowNanos < 0)
                .orElse(nowNanos);
        long elapsedNanos = Math.max(0, workUntilNanos - advancedNanos);
        runningTasks().forEach(task -> task.work(elapsedNanos, speedPercent(task)));
        endFailedTasks(nowNanos);
        if (lease.isEmpty() || lease.get().endNanos() - nowNanos <= 0) {
            runningTasks().forEach(task -> task.end(Outcome.LEASE_LAPSED, workUntilNanos, task.isCheckpointAllowed()));
        }
        advancedNanos = nowNanos;
        measure(nowNanos);
        return nowNanos;
    }

    private void endFailedTasks(long nowNanos) {
        runningTasks().stream()
                .filter(task -> task.isWorkDone() && task.command().exitCode() != 0)
                .forEach(task -> task.end(Outcome.FAILED, nowNanos, false));
    }

    private void measure(long nowNanos) {
        if (nowNanos - measuredNanos >= MEASUREMENT_INTERVAL_NANOS) {
            measuredNanos = nowNanos;
            runningTasks().forEach(task -> task.measure(nowNanos));
        }
    }

    private List<UsageSample> samples(long nowNanos) {
        long latestNanos = nowNanos - usageLag.toNanos();
        return runningTasks().stream()
                .flatMap(task -> task.sample(nowNanos, latestNanos).stream())
                .toList();
    }

    /** Speed of a task beside the others: shared processors, disturbance by others, and its own throttle. */
    private int speedPercent(SimulatedTask task) {
        long wantedMillis = 0;
        double speed = task.throttlePercent();
        for (SimulatedTask other : runningTasks()) {
            wantedMillis += other.command().used().processorMillis();
            if (other != task) {
                speed *= 1 - other.command().disturbsPercent() / (double) FULL_SPEED_PERCENT;
            }
        }
        if (wantedMillis > capacity.processorMillis()) {
            speed *= (double) capacity.processorMillis() / wantedMillis;
        }
        return Math.max(1, (int) speed);
    }

    private List<SimulatedTask> runningTasks() {
        return tasks.values().stream().filter(SimulatedTask::isRunning).toList();
    }

    private Resources declaredSize() {
        return runningTasks().stream().map(SimulatedTask::declared).reduce(Resources.NONE, Resources::plus);
    }

    private void extendLease(Holder holder, IssuedNonce issued, long leaseMs) {
        lease = Optional.of(new Lease(holder, issued.issuedNanos() + TimeUnit.MILLISECONDS.toNanos(leaseMs)));
    }

    private boolean isLeaseCurrent(Holder holder, long nowNanos) {
        return lease.filter(held -> held.holder().equals(holder) && held.endNanos() - nowNanos > 0)
                .isPresent();
    }

    private void checkEpoch(ShardId shard, Epoch epoch) throws RefusedException {
        Epoch highest = highestEpochs.getOrDefault(shard, epoch);
        if (epoch.compareTo(highest) < 0) {
            throw refused(shard, RefusalCode.FENCED, "a higher epoch of the shard has been seen");
        }
        highestEpochs.put(shard, epoch);
    }

    private static boolean isRepeat(SimulatedTask task, StartRequest request) {
        return task.attempt() == request.attempt() && task.report().state() != TaskReportState.STOPPED;
    }

    private void checkAttempt(StartRequest request, Optional<SimulatedTask> known) throws RefusedException {
        int highest = highestAttempts.getOrDefault(request.taskId(), -1);
        if (request.attempt() <= highest) {
            throw refused(
                    request.shard(),
                    RefusalCode.ATTEMPT_FORBIDDEN,
                    "attempt %d was accepted, refused or stopped before".formatted(highest));
        }
        if (known.filter(SimulatedTask::isRunning).isPresent()) {
            throw refused(request.shard(), RefusalCode.ATTEMPT_FORBIDDEN, "a lower attempt is still running");
        }
    }

    private SimulatedCommand parse(StartRequest request) throws RefusedException {
        try {
            return SimulatedCommand.parse(request.command(), request.resources());
        } catch (IllegalArgumentException invalid) {
            throw refused(request.shard(), RefusalCode.START_FAILED, invalid.getMessage());
        }
    }

    private SimulatedTask running(TaskCommand command) throws RefusedException {
        SimulatedTask task = tasks.get(command.taskId());
        if (task == null || task.attempt() != command.attempt() || !task.isRunning()) {
            throw refused(command.shard(), RefusalCode.UNKNOWN_TASK, "this attempt is not running here");
        }
        return task;
    }

    private RefusedException refused(ShardId shard, RefusalCode code, String detail) {
        return new RefusedException(new Refusal(code, detail, highestEpochs.getOrDefault(shard, new Epoch(0))));
    }

    private static TaskReport neverRan(TaskCommand command) {
        return new TaskReport(
                command.taskId(),
                command.attempt(),
                TaskReportState.STOPPED,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0);
    }

    private record Holder(ShardId shard, Epoch epoch) {}

    private record Lease(Holder holder, long endNanos) {}

    private record IssuedNonce(String nonce, Holder holder, long issuedNanos) {

        /** A nonce counts only for the holder to which it was issued. */
        boolean isNamedBy(RenewRequest request, Holder sender) {
            return holder.equals(sender) && request.nonce().equals(Optional.of(nonce));
        }
    }
}
