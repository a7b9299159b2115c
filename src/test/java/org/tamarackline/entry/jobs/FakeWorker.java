package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.Refusal;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.worker.WorkerRefusedException;

/** In-memory worker that follows the rules of the worker protocol and records the runs that it starts. */
final class FakeWorker {

    /** Rules of the protocol that a test disables to show that its checks detect the violation. */
    enum Defect {
        NONE,
        NO_FENCING,
        LEASE_NEVER_EXPIRES,
        ACCEPTS_FORBIDDEN_ATTEMPTS
    }

    /**
     * Run of an attempt on a worker.
     *
     * @param resumedFromMs work in the checkpoint from which it resumed, 0 without a checkpoint
     */
    record TaskRun(String worker, TaskId task, int attempt, long resumedFromMs) {}

    private static final class FakeTask {
        private final int attempt;
        private final Resources resources;
        private final long requiredWorkMs;
        private final boolean checkpointAllowed;
        private final Optional<Integer> exitCode;
        private long lastAdvancedNanos;
        private long workDoneMs;
        private TaskReportState state = TaskReportState.RUNNING;
        private Optional<String> checkpointKey;

        FakeTask(StartRequest request, long workDoneMs, long nowNanos) {
            this.attempt = request.attempt();
            this.resources = request.resources();
            this.requiredWorkMs = request.command().path("workMs").asLong();
            this.exitCode = request.command().has("exitCode")
                    ? Optional.of(request.command().get("exitCode").asInt())
                    : Optional.empty();
            this.checkpointAllowed = request.checkpointAllowed();
            this.checkpointKey = request.checkpointKey();
            this.workDoneMs = workDoneMs;
            this.lastAdvancedNanos = nowNanos;
        }
    }

    final String id;
    private final MonotonicClock clock;
    private final Map<String, Long> checkpoints;
    private final List<TaskRun> history;
    private final Defect defect;
    private final Map<TaskId, FakeTask> tasks = new HashMap<>();
    private final Map<TaskId, Integer> forbiddenAttempts = new HashMap<>();
    private long highestEpoch;
    private long leaseEpoch = -1;
    private long leaseEndNanos;
    private String nonce = "";
    private long nonceIssuedNanos;
    private int issuedNonces;

    Resources capacity;
    boolean failStarts;
    int failedStarts;
    boolean objectStoreDown;

    FakeWorker(
            String id,
            Resources capacity,
            MonotonicClock clock,
            Map<String, Long> checkpoints,
            List<TaskRun> history,
            Defect defect) {
        this.id = id;
        this.capacity = capacity;
        this.clock = clock;
        this.checkpoints = checkpoints;
        this.history = history;
        this.defect = defect;
    }

    /**
     * Advances the running tasks to the current time: ends those that are done and stops the others if the lease has
     * expired.
     */
    void advance() {
        long now = clock.nowNanos();
        boolean expired = defect != Defect.LEASE_NEVER_EXPIRES && now >= leaseEndNanos;
        long end = expired ? Math.max(leaseEndNanos, 0) : now;
        tasks.forEach((taskId, task) -> {
            if (task.state != TaskReportState.RUNNING) {
                return;
            }
            task.workDoneMs +=
                    Math.max(0, Duration.ofNanos(end - task.lastAdvancedNanos).toMillis());
            task.lastAdvancedNanos = now;
            if (task.workDoneMs >= task.requiredWorkMs) {
                task.workDoneMs = task.requiredWorkMs;
                int code = task.exitCode.orElse(0);
                task.state = code == 0 ? TaskReportState.DONE : TaskReportState.FAILED;
            } else if (expired) {
                if (task.checkpointAllowed && !objectStoreDown) {
                    save(taskId, task);
                }
                task.state = TaskReportState.STOPPED;
            }
        });
    }

    private void save(TaskId taskId, FakeTask task) {
        String key = "checkpoint/%s/%d/%d".formatted(taskId, task.attempt, task.workDoneMs);
        checkpoints.put(key, task.workDoneMs);
        task.checkpointKey = Optional.of(key);
    }

    RenewResponse renew(RenewRequest request) throws WorkerRefusedException {
        advance();
        checkEpoch(request.epoch());
        if (request.epoch().value() != leaseEpoch) {
            leaseEpoch = request.epoch().value();
            // Running tasks keep the current lease; starts need a lease of the new epoch.
            startsAllowed = false;
        }
        if (request.nonce().isPresent() && request.nonce().get().equals(nonce)) {
            long end = nonceIssuedNanos + Duration.ofMillis(request.leaseMs()).toNanos();
            leaseEndNanos = Math.max(leaseEndNanos, end);
            startsAllowed = leaseEndNanos > clock.nowNanos();
        }
        nonce = id + "-" + issuedNonces++;
        nonceIssuedNanos = clock.nowNanos();
        return new RenewResponse(nonce, leaseIsCurrent(), capacity, reports(), List.of());
    }

    private boolean startsAllowed;

    private boolean leaseIsCurrent() {
        return startsAllowed && clock.nowNanos() < leaseEndNanos;
    }

    /** Starts an attempt. Returns false if the attempt is running already, as after a repeated request. */
    boolean start(StartRequest request) throws WorkerRefusedException {
        advance();
        checkEpoch(request.epoch());
        FakeTask existing = tasks.get(request.taskId());
        if (existing != null && existing.attempt == request.attempt() && existing.state == TaskReportState.RUNNING) {
            return false;
        }
        if (defect != Defect.LEASE_NEVER_EXPIRES
                && (!leaseIsCurrent()
                        || (defect != Defect.NO_FENCING && request.epoch().value() != leaseEpoch))) {
            throw refusal(RefusalCode.NO_LEASE);
        }
        boolean alreadyAccepted = existing != null && existing.attempt >= request.attempt();
        boolean alreadyForbidden = forbiddenAttempts.getOrDefault(request.taskId(), 0) >= request.attempt();
        if ((alreadyAccepted || alreadyForbidden) && defect != Defect.ACCEPTS_FORBIDDEN_ATTEMPTS) {
            throw refusal(RefusalCode.ATTEMPT_FORBIDDEN);
        }
        if (failStarts) {
            failedStarts++;
            throw refusal(RefusalCode.START_FAILED);
        }
        if (!used().plus(request.resources()).fitsIn(capacity)) {
            throw refusal(RefusalCode.OVER_CAPACITY);
        }
        long resumedFromMs = request.checkpointKey().map(checkpoints::get).orElse(0L);
        tasks.put(request.taskId(), new FakeTask(request, resumedFromMs, clock.nowNanos()));
        history.add(new TaskRun(id, request.taskId(), request.attempt(), resumedFromMs));
        return true;
    }

    FakeWorker createRestarted() {
        return new FakeWorker(id, capacity, clock, checkpoints, history, defect);
    }

    /** Returns the work in the checkpoint that a stop would report, 0 without one, empty if the attempt does not run here. */
    Optional<Long> savedWork(TaskId taskId, int attempt) {
        return Optional.ofNullable(tasks.get(taskId))
                .filter(task -> task.attempt == attempt && task.state == TaskReportState.RUNNING)
                .map(task -> task.checkpointKey.map(checkpoints::get).orElse(0L));
    }

    Resources used() {
        return tasks.values().stream()
                .filter(task -> task.state == TaskReportState.RUNNING)
                .map(task -> task.resources)
                .reduce(Resources.NONE, Resources::plus);
    }

    TaskReport checkpoint(TaskCommand command) throws WorkerRefusedException {
        FakeTask task = find(command);
        if (objectStoreDown) {
            throw refusal(RefusalCode.CHECKPOINT_FAILED);
        }
        if (task.state == TaskReportState.RUNNING) {
            save(command.taskId(), task);
        }
        return report(command.taskId(), task);
    }

    TaskReport throttle(TaskCommand command) throws WorkerRefusedException {
        return report(command.taskId(), find(command));
    }

    TaskReport stop(TaskCommand command) throws WorkerRefusedException {
        advance();
        checkEpoch(command.epoch());
        forbiddenAttempts.merge(command.taskId(), command.attempt(), Math::max);
        FakeTask task = tasks.get(command.taskId());
        if (task == null || task.attempt != command.attempt()) {
            return new TaskReport(
                    command.taskId(),
                    command.attempt(),
                    TaskReportState.STOPPED,
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    0);
        }
        if (task.state == TaskReportState.RUNNING) {
            task.state = TaskReportState.STOPPED;
        }
        return report(command.taskId(), task);
    }

    void forget(TaskCommand command) throws WorkerRefusedException {
        FakeTask task = find(command);
        if (task.state != TaskReportState.RUNNING) {
            forbiddenAttempts.merge(command.taskId(), task.attempt, Math::max);
            tasks.remove(command.taskId());
        }
    }

    private FakeTask find(TaskCommand command) throws WorkerRefusedException {
        advance();
        checkEpoch(command.epoch());
        FakeTask task = tasks.get(command.taskId());
        if (task == null || task.attempt != command.attempt()) {
            throw refusal(RefusalCode.UNKNOWN_TASK);
        }
        return task;
    }

    private void checkEpoch(Epoch epoch) throws WorkerRefusedException {
        if (epoch.value() < highestEpoch && defect != Defect.NO_FENCING) {
            throw refusal(RefusalCode.FENCED);
        }
        highestEpoch = Math.max(highestEpoch, epoch.value());
    }

    private WorkerRefusedException refusal(RefusalCode code) {
        return new WorkerRefusedException(new Refusal(code, "fake worker " + id, new Epoch(highestEpoch)));
    }

    private List<TaskReport> reports() {
        List<TaskReport> reports = new ArrayList<>();
        tasks.forEach((taskId, task) -> reports.add(report(taskId, task)));
        return reports;
    }

    private static TaskReport report(TaskId taskId, FakeTask task) {
        boolean done = task.state == TaskReportState.DONE;
        boolean ended = done || task.state == TaskReportState.FAILED;
        return new TaskReport(
                taskId,
                task.attempt,
                task.state,
                task.checkpointKey,
                done ? Optional.of("result/" + taskId) : Optional.empty(),
                ended ? Optional.of(task.exitCode.orElse(0)) : Optional.empty(),
                task.workDoneMs);
    }

    /** Returns the tasks that are running now. */
    List<TaskId> running() {
        advance();
        return tasks.entrySet().stream()
                .filter(entry -> entry.getValue().state == TaskReportState.RUNNING)
                .map(Map.Entry::getKey)
                .toList();
    }
}
