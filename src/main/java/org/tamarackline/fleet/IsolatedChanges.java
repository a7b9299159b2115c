package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Changes that the store rejected, each of which is kept out of the transactions for a time that doubles with each
 * rejection, so that it does not prevent other changes from being stored.
 */
final class IsolatedChanges {

    private static final Duration INITIAL_DELAY = Duration.ofSeconds(2);
    private static final int MAX_DOUBLINGS = 3;

    private record Isolation(int rejections, long retryNanos) {}

    private final EventLoop loop;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final Map<ChangeKey, Isolation> isolations = new HashMap<>();

    IsolatedChanges(EventLoop loop, DecisionLog log, FleetMetrics metrics) {
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Isolates a change.
     *
     * @param change the change
     * @param cause why the store rejects it
     * @param release runs when the change may be tried again
     */
    void isolate(ChangeKey change, String cause, Runnable release) {
        int earlier = isolations.containsKey(change) ? isolations.get(change).rejections() : 0;
        Duration delay = INITIAL_DELAY.multipliedBy(1L << Math.min(earlier, MAX_DOUBLINGS));
        isolations.put(change, new Isolation(earlier + 1, loop.nowNanos() + delay.toNanos()));
        log.changeIsolated(change.toString(), cause, earlier + 1, delay.toMillis());
        metrics.changeIsolated();
        loop.schedule(delay, release);
    }

    /** Returns whether a change must not be part of a transaction now. */
    boolean contains(ChangeKey change) {
        Isolation isolation = isolations.get(change);
        return isolation != null && isolation.retryNanos() - loop.nowNanos() > 0;
    }

    /** Returns the time until a change may be part of a transaction again, in milliseconds; 0 if it may now. */
    long remainingMs(ChangeKey change) {
        Isolation isolation = isolations.get(change);
        return isolation == null ? 0 : Math.max(0, (isolation.retryNanos() - loop.nowNanos()) / 1_000_000);
    }

    /** Records that changes were stored. */
    void onStored(Collection<ChangeKey> changes) {
        if (isolations.isEmpty()) {
            return;
        }
        for (ChangeKey change : changes) {
            if (isolations.remove(change) != null) {
                log.isolatedChangeStored(change.toString());
            }
        }
    }
}
