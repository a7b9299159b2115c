package org.tamarackline.core.task;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** The state of one worker that the owner of the rack keeps in memory: its lease, capacity, health and stale attempts. */
final class WorkerEntry {

    /**
     * Most renewals that name the same nonce. The second one replaces a first one that was lost. More would delay the time
     * from which the tasks of a silent worker are known to have ended.
     */
    private static final int MAX_NONCE_USES = 2;

    final WorkerId id;
    final WorkerHealth health;
    private final Map<TaskId, StaleAttempt> staleAttempts = new HashMap<>();

    boolean listed = true;
    /** Whether the worker gets no new tasks because it is leaving or out of service. */
    boolean draining;

    Resources capacity = Resources.NONE;
    boolean hasResponded;
    boolean leaseCurrent;
    boolean silent;
    boolean renewalInFlight;
    long nextRenewalNanos;
    long noTasksUntilNanos;
    Optional<Long> overCapacitySinceNanos = Optional.empty();

    private Optional<String> nonce = Optional.empty();
    private int nonceUses;
    private Optional<Long> lastLeaseRenewalNanos = Optional.empty();

    WorkerEntry(WorkerId id, WorkerHealth health) {
        this.id = id;
        this.health = health;
    }

    /** Returns the nonce for a renewal sent now; empty if the renewal must not extend the lease. */
    Optional<String> useNonce(long nowNanos) {
        if (isRenewalBlocked() || nonce.isEmpty() || nonceUses >= MAX_NONCE_USES) {
            return Optional.empty();
        }
        nonceUses++;
        lastLeaseRenewalNanos = Optional.of(nowNanos);
        return nonce;
    }

    void recordRenewal(WorkerProtocol.RenewResponse response) {
        hasResponded = true;
        silent = false;
        nonce = Optional.of(response.nonce());
        nonceUses = 0;
        capacity = response.capacity();
        leaseCurrent = response.leaseCurrent();
    }

    /**
     * Returns whether the worker is silent and {@code expiryNanos} have passed since its last renewal, or since this node
     * acquired the rack if that is later.
     */
    boolean hasLeaseExpired(long acquiredAtNanos, long expiryNanos, long nowNanos) {
        long lastRenewalNanos = lastLeaseRenewalNanos
                .map(sent -> Math.max(sent, acquiredAtNanos))
                .orElse(acquiredAtNanos);
        return silent && nowNanos - lastRenewalNanos >= expiryNanos;
    }

    /** Returns whether a start command may be sent now. */
    boolean acceptsStarts() {
        return hasResponded && leaseCurrent && !silent && !isRenewalBlocked();
    }

    /** Returns whether the lease must not be renewed until stops are confirmed. */
    boolean isRenewalBlocked() {
        return staleAttempts.values().stream().anyMatch(staleAttempt -> staleAttempt.blocksRenewal);
    }

    Collection<StaleAttempt> staleAttempts() {
        return staleAttempts.values();
    }

    Optional<StaleAttempt> staleAttempt(TaskId task) {
        return Optional.ofNullable(staleAttempts.get(task));
    }

    /** Adds a stale attempt unless a higher one of the task, or the same one with a stop to send, exists. */
    void add(StaleAttempt added) {
        StaleAttempt existing = staleAttempts.get(added.task);
        boolean covered = existing != null
                && (existing.attempt > added.attempt || (existing.attempt == added.attempt && existing.stopNeeded));
        if (!covered) {
            staleAttempts.put(added.task, added);
        }
    }

    void remove(StaleAttempt removed) {
        staleAttempts.remove(removed.task, removed);
    }
}
