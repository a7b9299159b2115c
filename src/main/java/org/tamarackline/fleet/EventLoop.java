package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Runs everything that a node decides, one step after another. */
public interface EventLoop extends MonotonicClock {

    /** Runs a step as soon as the earlier ones are done. Callable from any thread. */
    void execute(Runnable step);

    /** Runs a step after a delay. Callable from any thread. */
    void schedule(Duration delay, Runnable step);
}
