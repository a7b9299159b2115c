package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.tamarackline.core.model.RunnerId;

/**
 * Ejects runners that repeatedly fail or do not respond, so that they get no requests for a time. After that time a runner
 * gets a single probe request. If the probe fails, the runner is ejected again for twice the time.
 *
 * <p>The share of runners that are ejected at once is limited. If most of them fail, a common cause is more likely, and the
 * remaining ones would be overloaded.
 *
 * <p>Not thread-safe: guarded by its owner's lock.
 */
public final class OutlierDetector {

    private final Limits limits;
    private final Map<RunnerId, Health> healthByRunner = new HashMap<>();

    /** Creates a detector that takes all runners for healthy. */
    public OutlierDetector(Limits limits) {
        this.limits = limits;
    }

    /**
     * Limits that determine when runners are ejected, and for how long.
     *
     * @param consecutiveFailures number of consecutive failures after which a runner is ejected
     * @param firstEjection duration of the first ejection, doubled after each failed probe
     * @param longestEjection upper bound of the duration
     * @param maxEjectedPercent largest percentage of the known runners that may be ejected at once
     */
    public record Limits(
            int consecutiveFailures, Duration firstEjection, Duration longestEjection, int maxEjectedPercent) {

        /** Returns the default limits. */
        public static Limits defaults() {
            return new Limits(5, Duration.ofSeconds(2), Duration.ofSeconds(60), 40);
        }
    }

    /** Returns whether the runner may get a request now: it is healthy, or a probe is due. */
    public boolean isUsable(RunnerId runner, long nowNanos) {
        Health health = healthByRunner.get(runner);
        return health == null || !health.ejected || health.isProbeDue(nowNanos);
    }

    /** Records that a request was assigned to the runner. For an ejected runner, this request is the probe. */
    public void recordGrant(RunnerId runner, long nowNanos) {
        Health health = healthByRunner.get(runner);
        if (health != null && health.ejected) {
            health.probing = true;
            health.probeTimeoutNanos = nowNanos + limits.longestEjection().toNanos();
        }
    }

    /** Records a successful request. It ends an ejection only if it is the probe, not if it was sent before the ejection. */
    public void recordSuccess(RunnerId runner) {
        Health health = healthByRunner.get(runner);
        if (health != null && (!health.ejected || health.probing)) {
            healthByRunner.remove(runner);
        }
    }

    /** Records that an assigned request was not sent, so that another one can be the probe. */
    public void recordUnused(RunnerId runner) {
        Health health = healthByRunner.get(runner);
        if (health != null) {
            health.probing = false;
        }
    }

    /**
     * Records a failed request.
     *
     * @param knownRunners number of runners of the service that are known to this node
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

    /** Removes the state of runners that are not in {@code runners}, because they left the VM list. */
    public void retain(Collection<RunnerId> runners) {
        healthByRunner.keySet().retainAll(runners);
    }

    /** Returns whether the runner is ejected, also while it is being probed. */
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

        /** The probe has a timeout, so that a probe whose outcome is never reported does not eject the runner for ever. */
        boolean isProbeDue(long nowNanos) {
            return probing ? nowNanos - probeTimeoutNanos >= 0 : nowNanos - ejectedUntilNanos >= 0;
        }
    }
}
