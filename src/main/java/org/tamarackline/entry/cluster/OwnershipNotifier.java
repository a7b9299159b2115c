package org.tamarackline.entry.cluster;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.ShardId;

/**
 * Queues events of acquired and lost shards, and delivers them to the listeners in order when {@link #deliverPending}
 * is called.
 */
final class OwnershipNotifier {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Supplier<Set<OwnershipListener>> listeners;
    private final ConcurrentLinkedQueue<Runnable> pendingEvents = new ConcurrentLinkedQueue<>();

    /** Creates a notifier. The listeners are obtained with the first event, because they may depend on the cluster. */
    OwnershipNotifier(Supplier<Set<OwnershipListener>> listeners) {
        this.listeners = listeners;
    }

    void queueAcquired(ShardId shard, Epoch epoch, OwnershipListener.Origin origin, Optional<JsonNode> handedOver) {
        pendingEvents.add(
                () -> listenersOf(shard).forEach(listener -> listener.acquired(shard, epoch, origin, handedOver)));
    }

    void queueLost(ShardId shard) {
        pendingEvents.add(() -> listenersOf(shard).forEach(listener -> listener.lost(shard)));
    }

    /** Delivers all queued events on the calling thread. */
    void deliverPending() {
        Runnable event = pendingEvents.poll();
        while (event != null) {
            try {
                event.run();
            } catch (RuntimeException e) {
                LOG.atSevere().withCause(e).log("ownership listener failed");
            }
            event = pendingEvents.poll();
        }
    }

    /** Delivers all queued events, then has the shard's listener stop work on it and return its state. */
    JsonNode prepareHandover(ShardId shard) {
        deliverPending();
        return listenersOf(shard).stream()
                .findFirst()
                .map(listener -> listener.prepareHandover(shard))
                .orElse(NullNode.getInstance());
    }

    private List<OwnershipListener> listenersOf(ShardId shard) {
        return listeners.get().stream()
                .filter(listener -> listener.accepts(shard))
                .toList();
    }
}
