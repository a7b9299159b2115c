package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableTransaction;

/**
 * Simulation of one rack with successive owners and injected faults. Records each violation of the invariants of
 * scheduling.
 */
final class RackSimulation {

    /** Kinds of steps: submissions, cancellations, the passage of time and faults. */
    enum RackAction {
        SUBMIT_BATCH,
        SUBMIT_LATENCY_CRITICAL,
        RUN_SHORT,
        RUN_LONG,
        RUN_ONE_CALL,
        PAUSE_OWNER,
        CRASH_OWNER,
        ISOLATE_AND_REPLACE_OWNER,
        HAND_OVER,
        RESUME_FORMER_OWNERS,
        RUN_LATE_CALLS,
        SILENCE_WORKER,
        END_WORKER_SILENCE,
        RESTART_WORKER,
        LOSE_WORKER_RESPONSE,
        DELAY_START,
        DELAY_RENEWAL,
        DELIVER_DELAYED,
        PLATFORM_DOWN,
        PLATFORM_UP,
        COMMIT_APPLIED_UNKNOWN,
        COMMIT_DROPPED_UNKNOWN,
        OBJECT_STORE_DOWN,
        OBJECT_STORE_UP,
        CANCEL_JOB
    }

    /**
     * One step of a sequence.
     *
     * @param action what happens
     * @param choice number that selects the worker, the job, the duration or the size of a submission
     */
    record RackStep(RackAction action, int choice) {}

    private static final ShardId RACK = new ShardId("rack:a:1");
    private static final CallerName CALLER = new CallerName("lianhua");
    private static final Resources WORKER_SIZE = new Resources(4_000, 8_000, 0);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(250);
    private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RECOVERY_TIMEOUT = Duration.ofMinutes(25);
    private static final Duration RECOVERY_CHECK_INTERVAL = Duration.ofSeconds(10);
    /** Limit of one scan; more than a sequence of 60 steps with 3 tasks each submits. */
    private static final int MAX_SUBMITTED_TASKS = 500;

    private final ManualClock clock = new ManualClock();
    private final FakePlatform platform = new FakePlatform();
    private final FakeWorkers workers = new FakeWorkers();
    private final RowFormat rowFormat = new RowFormat(new Region("r1"));
    private final Duration driftMargin;
    private final List<FakeNode> formerOwners = new ArrayList<>();
    private final List<JobId> jobs = new ArrayList<>();
    private final Map<JobId, Integer> acceptedTaskCounts = new HashMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final Map<TaskId, Long> savedWorkAtStop = new HashMap<>();
    private final Map<TaskId, String> workerAtStop = new HashMap<>();
    private final Map<String, String> workerOfAttempt = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private FakeNode owner;
    private long epoch;

    RackSimulation(FakeWorker.Defect defect, Duration driftMargin) {
        this.driftMargin = driftMargin;
        for (int i = 0; i < 3; i++) {
            workers.add("w" + i, WORKER_SIZE, clock, defect);
        }
        workers.onStarted = this::checkStart;
        workers.onStop = this::recordStop;
        replaceOwner();
        run(Duration.ofSeconds(1));
    }

    void apply(RackStep step) {
        String worker = "w" + step.choice() % 3;
        switch (step.action()) {
            case SUBMIT_BATCH ->
                submit(BuiltInProfiles.OVERNIGHT_PLAN.name(), 1 + step.choice() % 3, 25_000 + step.choice() * 20L);
            case SUBMIT_LATENCY_CRITICAL -> submit(BuiltInProfiles.QUICK_ANSWER.name(), 1, 4_000);
            case RUN_SHORT -> run(TICK_INTERVAL.multipliedBy(1 + step.choice() % 8));
            case RUN_LONG -> run(Duration.ofSeconds(5 + step.choice() % 25));
            case RUN_ONE_CALL -> runOneCall();
            case PAUSE_OWNER -> clock.advance(Duration.ofSeconds(1 + step.choice() % 40));
            case CRASH_OWNER -> crashAndReplaceOwner();
            case ISOLATE_AND_REPLACE_OWNER -> isolateAndReplaceOwner();
            case HAND_OVER -> handOver();
            case RESUME_FORMER_OWNERS -> formerOwners.forEach(RackSimulation::resume);
            case RUN_LATE_CALLS -> runLateCalls();
            case SILENCE_WORKER -> workers.silent.add(worker);
            case END_WORKER_SILENCE -> workers.silent.clear();
            case RESTART_WORKER -> restartWorker(worker);
            case LOSE_WORKER_RESPONSE -> workers.loseNextResponse = true;
            case DELAY_START -> workers.delayNextStart = true;
            case DELAY_RENEWAL -> workers.delayNextRenewal = true;
            case DELIVER_DELAYED -> workers.deliverDelayed();
            case PLATFORM_DOWN -> setPlatformDown(true);
            case PLATFORM_UP -> setPlatformDown(false);
            case COMMIT_APPLIED_UNKNOWN -> platform.applyNextWithUnknownOutcome();
            case COMMIT_DROPPED_UNKNOWN -> platform.dropNextWithUnknownOutcome();
            case OBJECT_STORE_DOWN -> workers.all().forEach(each -> each.objectStoreDown = true);
            case OBJECT_STORE_UP -> workers.all().forEach(each -> each.objectStoreDown = false);
            case CANCEL_JOB -> cancel(step.choice());
            default -> throw new IllegalStateException("unhandled action " + step.action());
        }
    }

    private void setPlatformDown(boolean down) {
        platform.setDown(down);
        owner.cluster.setMembershipStatus(down ? MembershipStatus.OUTAGE : MembershipStatus.CONFIRMED);
    }

    /** Replaces the owner after a crash; the outcomes of its calls in flight are lost. */
    private void crashAndReplaceOwner() {
        owner.blockingCalls.clear();
        owner.loop.clear();
        clock.advance(TAKEOVER_TIMEOUT);
        replaceOwner();
    }

    /**
     * Replaces the owner after its isolation. The former owner keeps its state, but its membership status does not allow it
     * to act.
     */
    private void isolateAndReplaceOwner() {
        owner.cluster.setMembershipStatus(MembershipStatus.ISOLATED);
        formerOwners.add(owner);
        clock.advance(TAKEOVER_TIMEOUT);
        replaceOwner();
    }

    private void handOver() {
        FakeNode leaving = owner;
        leaving.runWithImmediateLoop(() -> leaving.racks.prepareHandover(RACK));
        replaceOwner();
        leaving.cluster.removeOwner(RACK);
        formerOwners.add(leaving);
    }

    private static void resume(FakeNode node) {
        node.tick();
        node.runUntilIdle();
    }

    /**
     * Sends the pending calls of former owners, as if the processes had been paused between the ownership check and the
     * send.
     */
    private void runLateCalls() {
        for (FakeNode old : formerOwners) {
            old.cluster.setMembershipStatus(MembershipStatus.CONFIRMED);
            old.cluster.acquire(RACK, old.epoch);
            List.copyOf(old.blockingCalls).forEach(Runnable::run);
            old.blockingCalls.clear();
            old.loop.clear();
            old.cluster.setMembershipStatus(MembershipStatus.ISOLATED);
        }
    }

    /** Ends an outage of the platform, writes the next epoch to the shard row and makes a new node the owner. */
    private void replaceOwner() {
        platform.setDown(false);
        epoch++;
        ObjectNode row = JsonNodeFactory.instance.objectNode().put("epoch", epoch);
        String key = rowFormat.shardKey(RACK);
        try {
            long version = platform.get(key).map(Row::version).orElse(0L);
            TableTransaction change = new TableTransaction(
                    UUID.randomUUID().toString(),
                    List.of(new TableTransaction.Check(key, version)),
                    List.of(new TableTransaction.Write(key, row)));
            platform.transactWithoutFault(change);
        } catch (PlatformException e) {
            throw new IllegalStateException("the owner could not be replaced", e);
        }
        owner = new FakeNode("10.0.0." + epoch + ":1", platform, workers, clock, driftMargin);
        owner.acquire(RACK, epoch);
        owner.runWithImmediateLoop(() -> owner.racks.setVms(List.of(vm("w0"), vm("w1"), vm("w2"))));
    }

    private static VmRecord vm(String id) {
        return new VmRecord(id, "worker", id, new DataCentre("a"), "1", VmRecord.State.LIVE, 0, 0, WORKER_SIZE);
    }

    /**
     * Restarts a worker: its tasks end, and it loses the keys of their checkpoints and the attempts that it accepted, so the
     * simulation no longer expects them.
     */
    private void restartWorker(String worker) {
        workers.restart(worker);
        workerOfAttempt.values().removeIf(worker::equals);
        List<TaskId> lost = workerAtStop.entrySet().stream()
                .filter(entry -> entry.getValue().equals(worker))
                .map(Map.Entry::getKey)
                .toList();
        lost.forEach(savedWorkAtStop::remove);
    }

    void run(Duration duration) {
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plus(TICK_INTERVAL)) {
            clock.advance(TICK_INTERVAL);
            owner.tick();
            owner.runUntilIdle();
        }
    }

    private void runOneCall() {
        owner.tick();
        if (!owner.blockingCalls.isEmpty()) {
            owner.blockingCalls.remove().run();
        }
    }

    private void submit(ProfileName profile, int tasks, long workMs) {
        ObjectNode command = JsonNodeFactory.instance.objectNode().put("workMs", workMs);
        Submission submission = new Submission(
                new TeamName("dyeing"), profile, tasks, command, new Resources(3_000, 2_000, 0), Optional.empty());
        owner.runWithImmediateLoop(() -> {
            try {
                JobView job = owner.service.submit(CALLER, submission);
                jobs.add(job.id());
                acceptedTaskCounts.put(job.id(), tasks);
            } catch (JobRefusedException e) {
                // The job was not accepted, so its tasks are not checked.
            }
        });
    }

    private void cancel(int choice) {
        if (jobs.isEmpty()) {
            return;
        }
        JobId job = jobs.get(choice % jobs.size());
        cancelled.add(job);
        owner.runWithImmediateLoop(() -> {
            try {
                owner.service.cancel(CALLER, job);
            } catch (JobRefusedException e) {
                // The cancellation may or may not have been written; the checks allow both.
            }
        });
    }

    private void checkStart(FakeWorker worker, StartRequest request) {
        TaskId task = request.taskId();
        for (FakeWorker other : workers.all()) {
            if (other != worker && other.running().contains(task)) {
                violations.add("%s runs on %s and %s".formatted(task, worker.id, other.id));
            }
        }
        if (!worker.used().fitsIn(worker.capacity)) {
            violations.add("%s is over its capacity".formatted(worker.id));
        }
        if (workerOfAttempt.put(task + "#" + request.attempt(), worker.id) != null) {
            violations.add("attempt %d of %s started twice".formatted(request.attempt(), task));
        }
        Long savedWorkMs = savedWorkAtStop.remove(task);
        long resumedFromMs = workers.history.getLast().resumedFromMs();
        if (savedWorkMs != null && resumedFromMs < savedWorkMs) {
            violations.add("%s resumed from %d ms and not from %d ms".formatted(task, resumedFromMs, savedWorkMs));
        }
        taskRow(task)
                .filter(row -> row.state() == TaskState.DONE)
                .ifPresent(row -> violations.add("%s was started after it was done".formatted(task)));
    }

    private void recordStop(FakeWorker worker, TaskCommand command) {
        worker.savedWork(command.taskId(), command.attempt()).ifPresent(saved -> {
            savedWorkAtStop.put(command.taskId(), saved);
            workerAtStop.put(command.taskId(), worker.id);
        });
    }

    private Optional<TaskRow> taskRow(TaskId task) {
        try {
            return platform.get(rowFormat.taskKey(RACK, task))
                    .map(row -> RowFormat.readTask(row).row());
        } catch (PlatformUnavailableException e) {
            return Optional.empty();
        }
    }

    /** Returns the number of runs that match. */
    int countRuns(Predicate<FakeWorker.TaskRun> matching) {
        return (int) workers.history.stream().filter(matching).count();
    }

    /** Returns the number of accepted tasks in the given state. */
    int countTasksIn(TaskState state) {
        return (int) acceptedTaskCounts.entrySet().stream()
                .flatMap(job ->
                        IntStream.range(0, job.getValue()).mapToObj(index -> taskRow(new TaskId(job.getKey(), index))))
                .filter(row -> row.map(known -> known.state() == state).orElse(false))
                .count();
    }

    /**
     * Ends all faults except queued commit faults, which the next commits of the owner still meet, runs until all submitted
     * tasks are final or the timeout has passed, and checks that none was lost and none still runs.
     */
    void recoverAndCheck() {
        setPlatformDown(false);
        workers.silent.clear();
        workers.delayNextStart = false;
        workers.delayNextRenewal = false;
        workers.loseNextResponse = false;
        workers.all().forEach(each -> each.objectStoreDown = false);
        workers.deliverDelayed();
        formerOwners.forEach(RackSimulation::resume);
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(RECOVERY_TIMEOUT) < 0 && !allFinal();
                elapsed = elapsed.plus(RECOVERY_CHECK_INTERVAL)) {
            run(RECOVERY_CHECK_INTERVAL);
        }
        run(RECOVERY_CHECK_INTERVAL);
        submittedTasks().forEach(this::checkFinalOrPoison);
        for (FakeWorker worker : workers.all()) {
            if (!worker.running().isEmpty()) {
                violations.add("%s still runs %s".formatted(worker.id, worker.running()));
            }
        }
    }

    private boolean allFinal() {
        return submittedTasks().stream()
                .allMatch(
                        task -> taskRow(task).map(row -> row.state().isFinal()).orElse(false));
    }

    /** Returns the accepted tasks and those of submissions with an unknown outcome that took effect. */
    private Set<TaskId> submittedTasks() {
        Set<TaskId> tasks = new HashSet<>();
        acceptedTaskCounts.forEach(
                (job, count) -> IntStream.range(0, count).forEach(index -> tasks.add(new TaskId(job, index))));
        try {
            for (Row row : platform.scan(rowFormat.taskPrefix(RACK), "", MAX_SUBMITTED_TASKS)) {
                tasks.add(RowFormat.readTask(row).row().task());
            }
        } catch (PlatformUnavailableException e) {
            throw new IllegalStateException("the platform is up during the checks", e);
        }
        return tasks;
    }

    private void checkFinalOrPoison(TaskId task) {
        Optional<TaskRow> row = taskRow(task);
        TaskState state = row.map(TaskRow::state).orElse(TaskState.PENDING);
        boolean parkedAsPoison = row.flatMap(TaskRow::parkReason).equals(Optional.of(ParkReason.POISON));
        boolean allowed = state == TaskState.DONE
                || parkedAsPoison
                || (state == TaskState.CANCELLED && cancelled.contains(task.job()));
        if (!allowed) {
            violations.add("%s ended as %s".formatted(task, row));
        }
    }
}
