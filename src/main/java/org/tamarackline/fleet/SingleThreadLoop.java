package org.tamarackline.fleet;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

/** Event loop on a dedicated thread. */
public final class SingleThreadLoop implements EventLoop, AutoCloseable {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ScheduledThreadPoolExecutor executor;

    /** Creates a loop whose thread starts with the first step. */
    public SingleThreadLoop(String name) {
        executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name(name).daemon().factory());
    }

    @Override
    public void execute(Runnable step) {
        schedule(Duration.ZERO, step);
    }

    @Override
    public void schedule(Duration delay, Runnable step) {
        try {
            scheduleOn(executor, delay, () -> run(step));
        } catch (RejectedExecutionException closed) {
            LOGGER.atInfo().log("event loop step dropped because the node has stopped");
        }
    }

    @Override
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private static void scheduleOn(ScheduledThreadPoolExecutor executor, Duration delay, Runnable step) {
        executor.schedule(step, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Logs the failure of a step, at most once a second. Errors are caught too: the executor would keep them to itself,
     * and a stack that overflows on deeply nested input says nothing about later steps.
     */
    private static void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error failure) {
            LOGGER.atSevere().withCause(failure).atMostEvery(1, TimeUnit.SECONDS).log("event loop step failed");
        }
    }
}
