package org.tamarackline.load;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Generates open-loop load: each request is sent when it is due, regardless of the responses to earlier ones.
 *
 * <p>Latency is measured from the due time, so that slow responses are not hidden by a reduced send rate (coordinated
 * omission).
 */
public final class LoadGenerator {

    /** Limit of open requests, which bounds memory; further requests are counted as not sent. */
    private static final int MAX_OPEN_REQUESTS = 20_000;

    private final LoadClient client;
    private final LoadRecorder recorder;
    private final Consumer<EndedRequest> listener;

    /** Creates a generator; {@code listener} is called with each request that ended, concurrently from many threads. */
    public LoadGenerator(LoadClient client, LoadRecorder recorder, Consumer<EndedRequest> listener) {
        this.client = client;
        this.recorder = recorder;
        this.listener = listener;
    }

    /**
     * Sends the load to the targets in round-robin order and returns when every request has ended.
     *
     * @param targets base URLs
     * @param runId prefix of the request ids, unique to this run
     * @throws InterruptedException if interrupted; requests in flight are not cancelled
     */
    public void run(LoadPlan plan, List<String> targets, String runId) throws InterruptedException {
        Semaphore openRequests = new Semaphore(MAX_OPEN_REQUESTS);
        long startNanos = System.nanoTime();
        for (long requestNumber = 0; requestNumber < plan.requests(); requestNumber++) {
            long dueNanos = startNanos + plan.dueNanos(requestNumber);
            awaitDue(dueNanos);
            String target = targets.get((int) (requestNumber % targets.size()));
            String requestId = runId + "-" + requestNumber;
            if (openRequests.tryAcquire()) {
                Thread.startVirtualThread(() -> {
                    try {
                        send(plan, target, requestId, dueNanos);
                    } finally {
                        openRequests.release();
                    }
                });
            } else {
                report(
                        target,
                        dueNanos,
                        dueNanos,
                        new RequestOutcome(
                                requestId,
                                RequestOutcome.Kind.NOT_SENT,
                                0,
                                Optional.empty(),
                                Optional.empty(),
                                Optional.empty()));
            }
        }
        openRequests.acquire(MAX_OPEN_REQUESTS);
    }

    private void send(LoadPlan plan, String target, String requestId, long dueNanos) {
        recorder.recordSend(System.nanoTime() - dueNanos);
        RequestOutcome outcome = client.send(target, plan, requestId);
        report(target, dueNanos, System.nanoTime(), outcome);
    }

    private void report(String target, long dueNanos, long endNanos, RequestOutcome outcome) {
        recorder.recordOutcome(outcome, endNanos - dueNanos);
        listener.accept(new EndedRequest(target, dueNanos, endNanos, outcome));
    }

    private static void awaitDue(long dueNanos) throws InterruptedException {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            if (Thread.interrupted()) {
                throw new InterruptedException("the load run was interrupted");
            }
            remainingNanos = dueNanos - System.nanoTime();
        }
    }
}
