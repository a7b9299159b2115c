package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Event loop of one of several nodes on a shared clock; a suspended node runs its steps when it resumes. */
final class SuspendableLoop implements EventLoop {

    private final ManualLoop shared;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean suspended;

    SuspendableLoop(ManualLoop shared) {
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
            deferred.add(step);
        } else {
            step.run();
        }
    }

    /** Suspends the node between two steps; without a resumption this simulates the loss of its process. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
        deferred.forEach(this::execute);
        deferred.clear();
    }
}
