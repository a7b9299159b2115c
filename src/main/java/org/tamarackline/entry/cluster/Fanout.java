package org.tamarackline.entry.cluster;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

/** Applies a function that may block, such as a call to a peer, to several items. */
final class Fanout {

    private final Executor executor;

    private Fanout(Executor executor) {
        this.executor = executor;
    }

    /** Returns a fan-out that processes one item after the other. */
    static Fanout sequential() {
        return new Fanout(Runnable::run);
    }

    /** Returns a fan-out that processes all items concurrently, each on a virtual thread. */
    static Fanout concurrent() {
        return new Fanout(task -> Thread.ofVirtual().name("cluster-call").start(task));
    }

    /** Starts to process the items without waiting for the results. */
    <T> void start(Collection<T> items, Consumer<T> action) {
        items.forEach(item -> executor.execute(() -> action.accept(item)));
    }

    /** Waits for all results and returns them in the order of the items. */
    <T, R> List<R> map(Collection<T> items, Function<T, R> function) {
        List<CompletableFuture<R>> futures = items.stream()
                .map(item -> CompletableFuture.supplyAsync(() -> function.apply(item), executor))
                .toList();
        return futures.stream().map(CompletableFuture::join).toList();
    }
}
