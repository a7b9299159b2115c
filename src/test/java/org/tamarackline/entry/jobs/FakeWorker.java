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

/** A worker in memory that keeps the rules of the control protocol, and a history of what it ran. */
final class FakeWorker {

    /** Rules that a test switches off to show that its checks notice. */
    enum Defect {
        NONE,
        NO_FENCING,
        LEASE_NEVER_LAPSES,
        ACCEPTS_OLD_ATTEMPTS
    }

    /**
     * One run of an attempt.
     *
     * @param fromMs work in the checkpoint that it started from
     */
    record Run(String worker, TaskId task, int attempt, long fromMs) {}

    private static final class Task {
        private final int attempt;
        private final Resources size;
        private final long needsMs;
        private final boolean checkpointAllowed;
        private final Optional<Integer> exitCode;
        private long lastNanos;
        private long doneMs;
        private TaskReportState state = TaskReportState.RUNNING;
        private Optional<String> checkpointKey;

        Task(StartRequest request, long doneMs, long nowNanos) {
            this.attempt = request.attempt();
            this.size = request.resources();
            this.needsMs = request.command().path("workMs").asLong();
            this.exitCode = request.command().has("exitCode")
                    ? Optional.of(request.command().get("exitCode").asInt())
                    : Optional.empty();
            this.checkpointAllowed = request.checkpointAllowed();
            this.checkpointKey = request.checkpointKey();
            this.doneMs = doneMs;
            this.lastNanos = nowNanos;
        }
    }

    final String id;
    private final MonotonicClock clock;
    private final Map<String, Long> checkpoints;
    private final List<Run> history;
    private final Defect defect;
    private final Map<TaskId, Task> tasks = new HashMap<>();
    private final Map<TaskId, Integer> forbidden = new HashMap<>();
    private long highestEpoch;
    private long leaseEpoch = -1;
    private long leaseEndNanos;
    private String nonce = "";
    private long nonceIssuedNanos;
    private int nonces;

    Resources capacity;
    boolean failStarts;
    int failedStarts;
    boolean objectStoreDown;

    FakeWorker(
            String id,
            Resources capacity,
            MonotonicClock clock,
            Map<String, Long> checkpoints,
            List<Run> history,
            Defect defect) {
        this.id = id;
        this.capacity = capacity;
        this.clock = clock;
        this.checkpoints = checkpoints;
        this.history = history;
        this.defect = defect;
    }

    /** Brings the tasks up to the present: ends those that are done, stops all if the lease lapsed. */
    void advance() {
        long now = clock.nowNanos();
        boolean lapsed = defect != Defect.LEASE_NEVER_LAPSES && now >= leaseEndNanos;
        long end = lapsed ? Math.max(leaseEndNanos, 0) : now;
        tasks.forEach((taskId, task) -> {
            if (task.state != TaskReportState.RUNNING) {
                return;
            }
            task.doneMs += Math.max(0, Duration.ofNanos(end - task.lastNanos).toMillis());
            task.lastNanos = now;
            if (task.doneMs >= task.needsMs) {
                task.doneMs = task.needsMs;
                int code = task.exitCode.orElse(0);
                task.state = code == 0 ? TaskReportState.DONE : TaskReportState.FAILED;
            } else if (lapsed) {
                if (task.checkpointAllowed && !objectStoreDown) {
                    save(taskId, task);
                }
                task.state = TaskReportState.STOPPED;
            }
        });
    }

    private void save(TaskId taskId, Task task) {
        String key = "checkpoint/%s/%d/%d".formatted(taskId, task.attempt, task.doneMs);
        checkpoints.put(key, task.doneMs);
        task.checkpointKey = Optional.of(key);
    }

    RenewResponse renew(RenewRequest request) throws WorkerRefusedException {
        advance();
        fence(request.epoch());
        if (request.epoch().value() != leaseEpoch) {
            leaseEpoch = request.epoch().value();
            // Running tasks keep the lease that they have; starts need one under the new epoch.
            startsAllowed = false;
        }
        if (request.nonce().isPresent() && request.nonce().get().equals(nonce)) {
            long end = nonceIssuedNanos + Duration.ofMillis(request.leaseMs()).toNanos();
            leaseEndNanos = Math.max(leaseEndNanos, end);
            startsAllowed = leaseEndNanos > clock.nowNanos();
        }
        nonce = id + "-" + nonces++;
        nonceIssuedNanos = clock.nowNanos();
        return new RenewResponse(nonce, leaseIsCurrent(), capacity, reports(), List.of());
    }

    private boolean startsAllowed;

    private boolean leaseIsCurrent() {
        return startsAllowed && clock.nowNanos() < leaseEndNanos;
    }

    /** Starts an attempt and returns true, or returns false for the repetition of an accepted start. */
    boolean start(StartRequest request) throws WorkerRefusedException {
        advance();
        fence(request.epoch());
        Task known = tasks.get(request.taskId());
        if (known != null && known.attempt == request.attempt() && known.state == TaskReportState.RUNNING) {
            return false;
        }
        if (defect != Defect.LEASE_NEVER_LAPSES
                && (!leaseIsCurrent()
                        || (defect != Defect.NO_FENCING && request.epoch().value() != leaseEpoch))) {
            throw refused(RefusalCode.NO_LEASE);
        }
        boolean accepted = known != null && known.attempt >= request.attempt();
        boolean stopped = forbidden.getOrDefault(request.taskId(), 0) >= request.attempt();
        if ((accepted || stopped) && defect != Defect.ACCEPTS_OLD_ATTEMPTS) {
            throw refused(RefusalCode.ATTEMPT_FORBIDDEN);
        }
        if (failStarts) {
            failedStarts++;
            throw refused(RefusalCode.START_FAILED);
        }
        if (!used().plus(request.resources()).fitsIn(capacity)) {
            throw refused(RefusalCode.OVER_CAPACITY);
        }
        long from = request.checkpointKey().map(checkpoints::get).orElse(0L);
        tasks.put(request.taskId(), new Task(request, from, clock.nowNanos()));
        history.add(new Run(id, request.taskId(), request.attempt(), from));
        return true;
    }

    FakeWorker restarted() {
        return new FakeWorker(id, capacity, clock, checkpoints, history, defect);
    }

    /** Returns the work in the checkpoint that a stop of the attempt would report, empty if it does not run here. */
    Optional<Long> savedWork(TaskId taskId, int attempt) {
        return Optional.ofNullable(tasks.get(taskId))
                .filter(task -> task.attempt == attempt && task.state == TaskReportState.RUNNING)
                .map(task -> task.checkpointKey.map(checkpoints::get).orElse(0L));
    }

    Resources used() {
        return tasks.values().stream()
                .filter(task -> task.state == TaskReportState.RUNNING)
                .map(task -> task.size)
                .reduce(Resources.NONE, Resources::plus);
    }

    TaskReport checkpoint(TaskCommand command) throws WorkerRefusedException {
        Task task = find(command);
        if (objectStoreDown) {
            throw refused(RefusalCode.CHECKPOINT_FAILED);
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
        fence(command.epoch());
        forbidden.merge(command.taskId(), command.attempt(), Math::max);
        Task task = tasks.get(command.taskId());
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
        Task task = find(command);
        if (task.state != TaskReportState.RUNNING) {
            forbidden.merge(command.taskId(), task.attempt, Math::max);
            tasks.remove(command.taskId());
        }
    }

    private Task find(TaskCommand command) throws WorkerRefusedException {
        advance();
        fence(command.epoch());
        Task task = tasks.get(command.taskId());
        if (task == null || task.attempt != command.attempt()) {
            throw refused(RefusalCode.UNKNOWN_TASK);
        }
        return task;
    }

    private void fence(Epoch epoch) throws WorkerRefusedException {
        if (epoch.value() < highestEpoch && defect != Defect.NO_FENCING) {
            throw refused(RefusalCode.FENCED);
        }
        highestEpoch = Math.max(highestEpoch, epoch.value());
    }

    private WorkerRefusedException refused(RefusalCode code) {
        return new WorkerRefusedException(new Refusal(code, "fake worker " + id, new Epoch(highestEpoch)));
    }

    private List<TaskReport> reports() {
        List<TaskReport> reports = new ArrayList<>();
        tasks.forEach((taskId, task) -> reports.add(report(taskId, task)));
        return reports;
    }

    private static TaskReport report(TaskId taskId, Task task) {
        boolean done = task.state == TaskReportState.DONE;
        boolean ended = done || task.state == TaskReportState.FAILED;
        return new TaskReport(
                taskId,
                task.attempt,
                task.state,
                task.checkpointKey,
                done ? Optional.of("result/" + taskId) : Optional.empty(),
                ended ? Optional.of(task.exitCode.orElse(0)) : Optional.empty(),
                task.doneMs);
    }

    /** Returns the tasks that run at this moment. */
    List<TaskId> running() {
        advance();
        return tasks.entrySet().stream()
                .filter(entry -> entry.getValue().state == TaskReportState.RUNNING)
                .map(Map.Entry::getKey)
                .toList();
    }
}
