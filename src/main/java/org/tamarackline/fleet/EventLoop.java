package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Runs the steps of a node one after another, and is the node's clock. */
public interface EventLoop extends MonotonicClock {

    /** Runs a step after the steps that are already queued. Callable from any thread. */
    void execute(Runnable step);

    /** Runs a step after a delay. Callable from any thread. */
    void schedule(Duration delay, Runnable step);
}
