package org.tamarackline.entry;

import java.time.Duration;

/** Something that a node must finish on shutdown after the load balancer stopped sending requests. */
public interface DrainStep {

    /** Returns what the step does, for the log. */
    String name();

    /**
     * Finishes the step.
     *
     * @param timeout longest time to take
     * @return whether the step was finished within the bound
     */
    boolean drain(Duration timeout) throws InterruptedException;
}
