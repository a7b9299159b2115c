package org.tamarackline.entry;

import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;

/**
 * The steps of a planned stop: readiness falls, the load balancer gets time to notice, admission closes, shards are
 * handed over and requests in flight end.
 */
final class DrainSequence {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Waits for a time; replaced in tests. */
    @FunctionalInterface
    interface Sleeper {

        /** Returns after {@code duration}. */
        void sleep(Duration duration) throws InterruptedException;
    }

    private final Readiness readiness;
    private final Duration drainDelay;
    private final Duration stepTimeout;
    private final List<DrainStep> steps;
    private final Sleeper sleeper;

    DrainSequence(
            Readiness readiness, Duration drainDelay, Duration stepTimeout, List<DrainStep> steps, Sleeper sleeper) {
        this.readiness = readiness;
        this.drainDelay = drainDelay;
        this.stepTimeout = stepTimeout;
        this.steps = List.copyOf(steps);
        this.sleeper = sleeper;
    }

    /** Runs all steps, also after one has failed, and returns whether all were finished. */
    boolean run() throws InterruptedException {
        readiness.startDraining();
        LOGGER.atInfo().log("draining: not ready, still serving until the load balancer has noticed");
        sleeper.sleep(drainDelay);
        readiness.closeAdmission();
        boolean finished = true;
        for (DrainStep step : steps) {
            finished &= runStep(step);
        }
        return finished;
    }

    private boolean runStep(DrainStep step) throws InterruptedException {
        try {
            boolean finished = step.drain(stepTimeout);
            if (!finished) {
                LOGGER.atWarning().log("draining: %s was not finished in %d ms", step.name(), stepTimeout.toMillis());
            }
            return finished;
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("draining: %s failed", step.name());
            return false;
        }
    }
}
