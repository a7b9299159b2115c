package org.tamarackline.entry.proxy;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.tamarackline.core.model.RunnerId;

/** A request that waits for a slot; the slot is granted by another thread. Thread-safe. */
final class SlotWaiter {

    private final Set<RunnerId> excluded;
    private final CompletableFuture<HeldSlot> slot = new CompletableFuture<>();

    SlotWaiter(Set<RunnerId> excluded) {
        this.excluded = excluded;
    }

    Set<RunnerId> excluded() {
        return excluded;
    }

    void grant(HeldSlot granted) {
        slot.complete(granted);
    }

    /** Returns the slot if it was granted. */
    Optional<HeldSlot> poll() {
        return Optional.ofNullable(slot.getNow(null));
    }

    /** Waits for the slot. An interrupt ends the wait; the interrupt flag stays set. */
    Optional<HeldSlot> await(long timeoutNanos) {
        try {
            return Optional.of(slot.get(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS));
        } catch (TimeoutException | ExecutionException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
