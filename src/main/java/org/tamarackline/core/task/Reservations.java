package org.tamarackline.core.task;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** The capacity that is reserved for latency-critical tasks while evictions free it. */
final class Reservations {

    private static final long RESERVATION_NANOS = Duration.ofSeconds(8).toNanos();

    private final RackState state;
    private final Map<TaskId, Reservation> reservations = new HashMap<>();

    Reservations(RackState state) {
        this.state = state;
    }

    private record Reservation(WorkerId worker, Resources size, long untilNanos) {}

    /** Removes the reservations of tasks that no longer wait, and those that have expired. */
    void removeObsolete(long now) {
        reservations.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue(), now));
    }

    private boolean isObsolete(TaskId task, Reservation reservation, long now) {
        boolean waiting = state.task(task)
                .map(entry -> entry.row.state() == TaskState.PENDING && entry.acceptsChange())
                .orElse(false);
        return !waiting || now >= reservation.untilNanos();
    }

    boolean contains(TaskId task) {
        return reservations.containsKey(task);
    }

    void add(TaskEntry entry, WorkerId worker, long now) {
        reservations.put(entry.task(), new Reservation(worker, entry.size(), now + RESERVATION_NANOS));
    }

    void remove(TaskId task) {
        reservations.remove(task);
    }

    /** Returns the capacity reserved on the worker. */
    Resources on(WorkerId worker) {
        return reservations.values().stream()
                .filter(reservation -> reservation.worker().equals(worker))
                .map(Reservation::size)
                .reduce(Resources.NONE, Resources::plus);
    }
}
