package org.tamarackline.core.task;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;

/** What the owner of a rack knows of one worker: its lease, its capacity and what it still has to be told. */
final class WorkerEntry {

    /**
     * Renewals that name the same nonce. The second one repeats a lost first one; more would put off the moment at which a
     * silent worker's tasks are known to have ended.
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

    /** Returns the nonce to name in a renewal sent now; empty if the renewal must not extend a lease. */
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

    /** Returns whether every lease that this owner extended has lapsed, {@code expiryNanos} after the last renewal. */
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

    /** Returns whether the lease must stay lapsed until stops are confirmed. */
    boolean isRenewalBlocked() {
        return staleAttempts.values().stream().anyMatch(staleAttempt -> staleAttempt.blocksRenewal);
    }

    Collection<StaleAttempt> staleAttempts() {
        return staleAttempts.values();
    }

    Optional<StaleAttempt> staleAttempt(TaskId task) {
        return Optional.ofNullable(staleAttempts.get(task));
    }

    /** Adds a leftover unless one for the same or a higher attempt exists. */
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
