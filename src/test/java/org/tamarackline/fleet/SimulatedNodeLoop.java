package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Event loop of one node process on a shared clock. It runs one step at a time, each for the same time of its processor.
 * It may be suspended, with a steady clock that does or does not count the suspension, and it may end.
 */
final class SimulatedNodeLoop implements EventLoop {

    private final ManualLoop shared;
    private final Duration stepTime;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean suspended;
    private boolean ended;
    private long suspendedSinceNanos;
    private long uncountedNanos;
    /** When the processor has finished all steps that are due. */
    private long busyUntilNanos;

    /**
     * Creates a loop.
     *
     * @param stepTime time that the processor takes for a step
     */
    SimulatedNodeLoop(ManualLoop shared, Duration stepTime) {
        this.shared = shared;
        this.stepTime = stepTime;
    }

    @Override
    public void execute(Runnable step) {
        shared.execute(() -> enqueue(step));
    }

    @Override
    public void schedule(Duration delay, Runnable step) {
        scheduleAt(nowNanos() + Math.max(0, delay.toNanos()), step);
    }

    private void scheduleAt(long atNanos, Runnable step) {
        shared.schedule(
                Duration.ofNanos(Math.max(0, atNanos - nowNanos())),
                () -> enqueue(() -> {
                    if (nowNanos() < atNanos) {
                        scheduleAt(atNanos, step);
                    } else {
                        step.run();
                    }
                }));
    }

    /** Runs a step that is due once the processor has finished the earlier ones. */
    private void enqueue(Runnable step) {
        busyUntilNanos = Math.max(busyUntilNanos, shared.nowNanos()) + stepTime.toNanos();
        shared.schedule(Duration.ofNanos(busyUntilNanos - shared.nowNanos()), () -> run(step));
    }

    private void run(Runnable step) {
        if (ended) {
            return;
        }
        if (suspended) {
            deferred.add(step);
        } else {
            step.run();
        }
    }

    @Override
    public long nowNanos() {
        return shared.nowNanos() - uncountedNanos;
    }

    /** Suspends the process between two steps. */
    void suspend() {
        if (!suspended) {
            suspended = true;
            suspendedSinceNanos = shared.nowNanos();
        }
    }

    /** Resumes the process; {@code counted} says whether its steady clock has advanced meanwhile. */
    void resume(boolean counted) {
        if (!suspended) {
            return;
        }
        suspended = false;
        if (!counted) {
            uncountedNanos += shared.nowNanos() - suspendedSinceNanos;
        }
        deferred.forEach(this::execute);
        deferred.clear();
    }

    boolean suspended() {
        return suspended;
    }

    /** Ends the process; it runs no further step. */
    void end() {
        ended = true;
        deferred.clear();
    }
}
