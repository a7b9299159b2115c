package org.tamarackline.entry;

import java.time.Duration;

/** Work that a node has to finish during a planned stop, after the load balancer has stopped sending requests. */
public interface DrainStep {

    /** Returns what the step does, for the log. */
    String name();

    /**
     * Finishes the step.
     *
     * @param timeout longest time that the step may take
     * @return whether the step finished within the timeout
     */
    boolean drain(Duration timeout) throws InterruptedException;
}
