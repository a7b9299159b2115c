package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.tamarackline.core.model.RunnerId;

/**
 * Ejects runners that fail or stay silent, and lets each return by a single probe after a time that doubles.
 *
 * <p>At most a set share of the runners is ejected at once: when most of them fail, the cause is more likely common to all,
 * and the few that are left would be overloaded.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class OutlierDetector {

    private final Limits limits;
    private final Map<RunnerId, Health> healthByRunner = new HashMap<>();

    /** Creates a detector to which all runners are healthy. */
    public OutlierDetector(Limits limits) {
        this.limits = limits;
    }

    /**
     * When runners are ejected and how long.
     *
     * @param consecutiveFailures failures in a row that eject a runner
     * @param firstEjection time of the first ejection, doubled with each failed probe
     * @param longestEjection upper bound of that time
     * @param maxEjectedPercent largest share of the known runners that is ejected at once
     */
    public record Limits(
            int consecutiveFailures, Duration firstEjection, Duration longestEjection, int maxEjectedPercent) {

        /** Returns the defaults. */
        public static Limits defaults() {
            return new Limits(5, Duration.ofSeconds(2), Duration.ofSeconds(60), 40);
        }
    }

    /** Returns whether the runner may get a request now: it is healthy, or its time is over and no probe is under way. */
    public boolean isUsable(RunnerId runner, long nowNanos) {
        Health health = healthByRunner.get(runner);
        return health == null || !health.ejected || health.isProbeDue(nowNanos);
    }

    /** Records that a request was granted for the runner; for an ejected runner this request is its probe. */
    public void recordGrant(RunnerId runner, long nowNanos) {
        Health health = healthByRunner.get(runner);
        if (health != null && health.ejected) {
            health.probing = true;
            health.probeTimeoutNanos = nowNanos + limits.longestEjection().toNanos();
        }
    }

    /** Records an answered request. It ends an ejection only as a probe, not if it was sent before the ejection. */
    public void recordSuccess(RunnerId runner) {
        Health health = healthByRunner.get(runner);
        if (health != null && (!health.ejected || health.probing)) {
            healthByRunner.remove(runner);
        }
    }

    /** Records a request that was never sent, so that another one can be the probe. */
    public void recordUnused(RunnerId runner) {
        Health health = healthByRunner.get(runner);
        if (health != null) {
            health.probing = false;
        }
    }

    /**
     * Records a failed request.
     *
     * @param knownRunners number of runners of the service that this node knows
     */
    public void recordFailure(RunnerId runner, long nowNanos, int knownRunners) {
        Health health = healthByRunner.computeIfAbsent(runner, id -> new Health());
        if (health.ejected && !health.probing) {
            return;
        }
        health.failures++;
        if (health.probing) {
            health.probing = false;
            health.ejections++;
            health.ejectUntil(nowNanos + ejectionNanos(health.ejections));
        } else if (health.failures >= limits.consecutiveFailures() && mayEjectAnother(knownRunners)) {
            health.ejections = 0;
            health.ejectUntil(nowNanos + ejectionNanos(0));
        }
    }

    /** Forgets runners that left the VM list. */
    public void retain(Collection<RunnerId> runners) {
        healthByRunner.keySet().retainAll(runners);
    }

    /** Returns whether the runner is ejected, probing or not. */
    public boolean isEjected(RunnerId runner) {
        Health health = healthByRunner.get(runner);
        return health != null && health.ejected;
    }

    /** Returns the number of ejected runners. */
    public int ejectedCount() {
        return (int) healthByRunner.values().stream()
                .filter(health -> health.ejected)
                .count();
    }

    private boolean mayEjectAnother(int knownRunners) {
        return (ejectedCount() + 1) * 100L <= (long) knownRunners * limits.maxEjectedPercent();
    }

    private long ejectionNanos(int earlierEjections) {
        long factor = 1L << Math.min(earlierEjections, 20);
        Duration time = limits.firstEjection().multipliedBy(factor);
        return time.compareTo(limits.longestEjection()) > 0
                ? limits.longestEjection().toNanos()
                : time.toNanos();
    }

    private static final class Health {
        private int failures;
        private int ejections;
        private boolean ejected;
        private boolean probing;
        private long ejectedUntilNanos;
        private long probeTimeoutNanos;

        void ejectUntil(long nanos) {
            ejected = true;
            ejectedUntilNanos = nanos;
        }

        /** A probe whose outcome was never reported does not keep the runner out for good. */
        boolean isProbeDue(long nowNanos) {
            return probing ? nowNanos - probeTimeoutNanos >= 0 : nowNanos - ejectedUntilNanos >= 0;
        }
    }
}
