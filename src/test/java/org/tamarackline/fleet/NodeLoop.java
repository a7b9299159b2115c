package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The event loop of one node among several on one clock; a suspended node runs its steps when it resumes. */
final class NodeLoop implements EventLoop {

    private final ManualLoop shared;
    private final List<Runnable> held = new ArrayList<>();
    private boolean suspended;

    NodeLoop(ManualLoop shared) {
        this.shared = shared;
    }

    @Override
    public void execute(Runnable step) {
        schedule(Duration.ZERO, step);
    }

    @Override
    public void schedule(Duration delay, Runnable step) {
        shared.schedule(delay, () -> run(step));
    }

    @Override
    public long nowNanos() {
        return shared.nowNanos();
    }

    private void run(Runnable step) {
        if (suspended) {
            held.add(step);
        } else {
            step.run();
        }
    }

    /** Stops the node between two steps; without a resumption that is the loss of its process. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
        held.forEach(this::execute);
        held.clear();
    }
}
