package org.tamarackline.entry;

import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;

/**
 * Runs a planned stop: the node becomes not ready, waits until the load balancer has reacted, closes admission and then
 * runs the drain steps, which hand over the shards and end the requests in flight.
 */
final class DrainSequence {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Sleeps for a given time; replaced in tests. */
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

    /** Runs all steps, also after one has failed, and returns whether all of them finished in time. */
    boolean run() throws InterruptedException {
        readiness.startDraining();
        LOGGER.atInfo().log("draining: no longer ready; accepting requests until the load balancer has reacted");
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
