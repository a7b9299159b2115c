package org.tamarackline.entry.cluster;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;

/** Applies a function that may wait to several items. */
final class Fanout {

    private final Executor executor;

    private Fanout(Executor executor) {
        this.executor = executor;
    }

    /** Returns a fan-out that handles one item after the other. */
    static Fanout sequential() {
        return new Fanout(Runnable::run);
    }

    /** Returns a fan-out that handles all items at once, each on a virtual thread. */
    static Fanout concurrent() {
        return new Fanout(task -> Thread.ofVirtual().name("cluster-call").start(task));
    }

    /** Returns the results in the order of the items, after all of them are there. */
    <T, R> List<R> map(Collection<T> items, Function<T, R> function) {
        List<CompletableFuture<R>> futures = items.stream()
                .map(item -> CompletableFuture.supplyAsync(() -> function.apply(item), executor))
                .toList();
        return futures.stream().map(CompletableFuture::join).toList();
    }
}
