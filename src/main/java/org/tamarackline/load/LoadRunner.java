package org.tamarackline.load;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Sends an open-loop load: each request goes out when it is due, however slow the answers are.
 *
 * <p>Latency counts from the due time, so that a slow answer is not hidden by sending less.
 */
public final class LoadRunner {

    /** Open requests beyond which further ones are counted as not sent, to bound the client's memory. */
    private static final int MAX_OPEN_REQUESTS = 20_000;

    private final LoadClient client;
    private final LoadRecorder recorder;
    private final Consumer<RequestOutcome> listener;

    /** Creates a runner; {@code listener} is told each outcome from many threads. */
    public LoadRunner(LoadClient client, LoadRecorder recorder, Consumer<RequestOutcome> listener) {
        this.client = client;
        this.recorder = recorder;
        this.listener = listener;
    }

    /**
     * Sends the load to the targets in turn and returns once every request has ended.
     *
     * @param targets base URLs
     * @param runId prefix of the request ids, unique to this run
     * @throws InterruptedException if interrupted; requests under way end by themselves
     */
    public void run(LoadPlan plan, List<String> targets, String runId) throws InterruptedException {
        Semaphore open = new Semaphore(MAX_OPEN_REQUESTS);
        long startNanos = System.nanoTime();
        for (long number = 0; number < plan.requests(); number++) {
            long dueNanos = startNanos + plan.dueNanos(number);
            awaitNanos(dueNanos);
            String target = targets.get((int) (number % targets.size()));
            String requestId = runId + "-" + number;
            if (open.tryAcquire()) {
                Thread.startVirtualThread(() -> {
                    try {
                        send(plan, target, requestId, dueNanos);
                    } finally {
                        open.release();
                    }
                });
            } else {
                report(
                        new RequestOutcome(
                                requestId, RequestOutcome.Kind.NOT_SENT, 0, Optional.empty(), Optional.empty()),
                        0);
            }
        }
        open.acquire(MAX_OPEN_REQUESTS);
    }

    private void send(LoadPlan plan, String target, String requestId, long dueNanos) {
        recorder.recordSend(System.nanoTime() - dueNanos);
        RequestOutcome outcome = client.send(target, plan, requestId);
        report(outcome, System.nanoTime() - dueNanos);
    }

    private void report(RequestOutcome outcome, long latencyNanos) {
        recorder.recordOutcome(outcome, latencyNanos);
        listener.accept(outcome);
    }

    private static void awaitNanos(long dueNanos) throws InterruptedException {
        long leftNanos = dueNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            if (Thread.interrupted()) {
                throw new InterruptedException("the load run was interrupted");
            }
            leftNanos = dueNanos - System.nanoTime();
        }
    }
}
