package org.tamarackline.core.task;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** The workers and tasks of one rack, shared by the classes that schedule it. */
final class RackState {

    private final Map<TaskId, TaskEntry> unfinished = new LinkedHashMap<>();
    private final Map<TaskId, TaskRow> finished = new HashMap<>();
    private final Map<WorkerId, WorkerEntry> workers = new LinkedHashMap<>();
    private boolean workersKnown;

    /** Returns whether the VM list was read since this node acquired the rack. */
    boolean areWorkersKnown() {
        return workersKnown;
    }

    void setWorkersKnown() {
        workersKnown = true;
    }

    Collection<TaskEntry> unfinished() {
        return unfinished.values();
    }

    Collection<WorkerEntry> workers() {
        return workers.values();
    }

    Optional<TaskEntry> task(TaskId task) {
        return Optional.ofNullable(unfinished.get(task));
    }

    Optional<WorkerEntry> worker(WorkerId worker) {
        return Optional.ofNullable(workers.get(worker));
    }

    boolean contains(TaskId task) {
        return unfinished.containsKey(task) || finished.containsKey(task);
    }

    void add(TaskEntry entry) {
        unfinished.put(entry.task(), entry);
    }

    void add(WorkerEntry worker) {
        workers.put(worker.id, worker);
    }

    void remove(WorkerEntry worker) {
        workers.remove(worker.id);
    }

    void remove(TaskId task) {
        unfinished.remove(task);
        finished.remove(task);
    }

    /** Keeps the row of a finished task for queries, without the command, which is no longer needed. */
    void finish(TaskRow row) {
        unfinished.remove(row.task());
        finished.put(row.task(), row.withoutCommand());
    }

    List<TaskRow> rowsOf(JobId job) {
        return rows().filter(row -> row.task().job().equals(job)).toList();
    }

    Stream<TaskRow> rows() {
        return Stream.concat(unfinished.values().stream().map(entry -> entry.row), finished.values().stream());
    }

    Optional<TaskRow> row(TaskId task) {
        return task(task).map(entry -> entry.row).or(() -> Optional.ofNullable(finished.get(task)));
    }

    List<TaskEntry> tasksOn(WorkerId worker) {
        return unfinished.values().stream()
                .filter(entry -> isOrWillBeOn(entry, worker))
                .toList();
    }

    /** Returns the capacity of the worker that attempts occupy that are not known to have ended. */
    Resources occupied(WorkerEntry worker) {
        Resources byTasks = tasksOn(worker.id).stream().map(TaskEntry::size).reduce(Resources.NONE, Resources::plus);
        return worker.staleAttempts().stream()
                .map(staleAttempt -> staleAttempt.occupied)
                .reduce(byTasks, Resources::plus);
    }

    private static boolean isOrWillBeOn(TaskEntry entry, WorkerId worker) {
        boolean willBe = entry.pendingChange
                .map(pending -> pending.change().to().isOn(worker))
                .orElse(false);
        return willBe || entry.row.isOn(worker);
    }
}
