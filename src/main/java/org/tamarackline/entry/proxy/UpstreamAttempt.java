package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.Executed;

/**
 * One attempt to send a request to a runner with an acquired slot. It releases the slot when the attempt has ended.
 *
 * <p>The response headers must arrive by the deadline. The body may take until the request limit, because part of a response
 * is of no use. When the deadline passes before the headers arrive, the caller gets an error at once, but the attempt waits
 * for the response until the request limit: the runner is still working, and only its response shows that the slot is free.
 *
 * <p>A request body that is streamed from the caller is sent by the caller's thread and aborted at the deadline, because the
 * stream ends with the caller's request.
 */
final class UpstreamAttempt {

    /** Most bytes read from a response that nobody waits for, so that its slot is released and its connection reused. */
    private static final long MAX_DRAIN_BYTES = 1 << 20;

    private static final int BUFFER_BYTES = 16 * 1024;

    /** An attempt is slow after this many mean service times, but not before {@link #MIN_SLOW_AFTER_NANOS}. */
    private static final int SLOW_AFTER_SERVICE_TIMES = 4;

    private static final long MIN_SLOW_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private enum State {
        UNSENT,
        SENT,
        /** Abandoned before the send: the request must not be sent any more. */
        ABANDONED_UNSENT,
        /** Abandoned after the send: the runner may still be working on the request. */
        ABANDONED_SENT
    }

    private final UpstreamClient client;
    private final SlotBroker broker;
    private final MonotonicClock clock;
    private final ValidatedRequest request;
    private final HeldSlot slot;
    private final UpstreamClient.SendCheck sendCheck;
    private final Consumer<RoutedResponse> lateResponseReader;
    private final AtomicReference<State> state = new AtomicReference<>(State.UNSENT);
    private final long startNanos;

    /**
     * Creates an attempt.
     *
     * @param lateResponseReader reads a response to its end that arrives after the attempt was abandoned
     */
    UpstreamAttempt(
            UpstreamClient client,
            SlotBroker broker,
            MonotonicClock clock,
            ValidatedRequest request,
            HeldSlot slot,
            UpstreamClient.SendCheck sendCheck,
            Consumer<RoutedResponse> lateResponseReader) {
        this.client = client;
        this.broker = broker;
        this.clock = clock;
        this.request = request;
        this.slot = slot;
        this.sendCheck = sendCheck;
        this.lateResponseReader = lateResponseReader;
        this.startNanos = clock.nowNanos();
    }

    /**
     * Sends the request and waits for the response headers.
     *
     * @param retrySlowAttempt called at most once, when the attempt is slow; true abandons the attempt because it is retried
     * @throws UpstreamException if there is no response; the attempt reports to the broker itself whether the slot is free
     */
    RoutedResponse send(BooleanSupplier retrySlowAttempt) throws UpstreamException {
        if (!request.upstreamRequest().body().isFullyBuffered()) {
            UpstreamResponse response = sendUntil(request.deadlineNanos());
            response.setAbortDeadline(slot.abortDeadlineNanos());
            return new StreamedResponse(response);
        }
        CompletableFuture<UpstreamResponse> pendingResponse = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> sendInBackground(pendingResponse));
        return new StreamedResponse(awaitResponse(pendingResponse, retrySlowAttempt));
    }

    private void sendInBackground(CompletableFuture<UpstreamResponse> pendingResponse) {
        try {
            UpstreamResponse response = sendUntil(slot.abortDeadlineNanos());
            if (!pendingResponse.complete(response)) {
                lateResponseReader.accept(new StreamedResponse(response));
            }
        } catch (UpstreamException | RuntimeException e) {
            pendingResponse.completeExceptionally(e);
        }
    }

    private UpstreamResponse awaitResponse(
            CompletableFuture<UpstreamResponse> pendingResponse, BooleanSupplier retrySlowAttempt)
            throws UpstreamException {
        Optional<UpstreamResponse> response = awaitUntil(pendingResponse, startNanos + slowAfterNanos());
        if (response.isEmpty() && !retrySlowAttempt.getAsBoolean()) {
            response = awaitUntil(pendingResponse, request.deadlineNanos());
        }
        return response.isPresent() ? response.get() : abandon(pendingResponse);
    }

    /** Returns empty if the time has passed or the thread was interrupted. */
    private Optional<UpstreamResponse> awaitUntil(CompletableFuture<UpstreamResponse> pendingResponse, long endNanos)
            throws UpstreamException {
        long nowNanos = clock.nowNanos();
        long remainingNanos = Math.min(endNanos - nowNanos, request.deadlineNanos() - nowNanos);
        try {
            return Optional.of(pendingResponse.get(Math.max(0, remainingNanos), TimeUnit.NANOSECONDS));
        } catch (ExecutionException e) {
            if (e.getCause() instanceof UpstreamException failure) {
                throw failure;
            }
            throw new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    /**
     * Stops waiting for the response. {@code state} settles the race with the send, {@code pendingResponse} the race with the
     * response, which is returned if it arrived first.
     */
    private UpstreamResponse abandon(CompletableFuture<UpstreamResponse> pendingResponse) throws UpstreamException {
        boolean unsent = state.compareAndSet(State.UNSENT, State.ABANDONED_UNSENT);
        if (!unsent) {
            state.compareAndSet(State.SENT, State.ABANDONED_SENT);
        }
        UpstreamException timeout = new UpstreamException(
                UpstreamException.Reason.TIMEOUT,
                unsent ? Executed.NO : Executed.UNKNOWN,
                "no response before the deadline",
                null);
        if (!pendingResponse.completeExceptionally(timeout) && !pendingResponse.isCompletedExceptionally()) {
            return pendingResponse.join();
        }
        if (!unsent) {
            broker.finish(slot, false, outcomeAfterTimeout());
        }
        throw timeout;
    }

    private UpstreamResponse sendUntil(long abortDeadlineNanos) throws UpstreamException {
        try {
            return client.send(slot.runner(), request.upstreamRequest(), abortDeadlineNanos, this::maySend);
        } catch (UpstreamException e) {
            boolean ended = e.executed() == Executed.NO || e.reason() == UpstreamException.Reason.BROKEN;
            broker.finish(slot, ended, isAbandoned() ? RunnerOutcome.NOT_JUDGED : outcomeAfterFailure(e));
            throw e;
        } catch (RuntimeException e) {
            broker.finish(slot, state.get() == State.UNSENT, RunnerOutcome.NOT_JUDGED);
            throw e;
        }
    }

    /** The outcome of an abandoned attempt has already been reported as a timeout. */
    private boolean isAbandoned() {
        return state.get() == State.ABANDONED_SENT || state.get() == State.ABANDONED_UNSENT;
    }

    private boolean maySend() {
        return sendCheck.maySend() && state.compareAndSet(State.UNSENT, State.SENT);
    }

    private RunnerOutcome outcomeAfterFailure(UpstreamException failure) {
        return switch (failure.reason()) {
            case UNREACHABLE, BROKEN -> RunnerOutcome.FAILED;
            case TIMEOUT -> failure.executed() == Executed.NO ? RunnerOutcome.NOT_JUDGED : outcomeAfterTimeout();
            case NOT_ADMITTED, CALLER_BODY_FAILED -> RunnerOutcome.NOT_JUDGED;
        };
    }

    private RunnerOutcome outcomeAfterTimeout() {
        if (clock.nowNanos() - startNanos < slowAfterNanos()) {
            return RunnerOutcome.NOT_JUDGED;
        }
        client.closeIdleAfterTimeout();
        return RunnerOutcome.FAILED;
    }

    private long slowAfterNanos() {
        long serviceTimesNanos = SLOW_AFTER_SERVICE_TIMES * broker.statistics().meanServiceTimeNanos(request.service());
        return Math.max(MIN_SLOW_AFTER_NANOS, serviceTimesNanos);
    }

    private static boolean drain(UpstreamResponse response, long limitBytes) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (response) {
            InputStream body = response.body();
            long total = 0;
            int count = body.read(buffer);
            while (count >= 0 && total < limitBytes) {
                total += count;
                count = body.read(buffer);
            }
            return count < 0;
        } catch (IOException e) {
            return !response.isAborted();
        }
    }

    private final class StreamedResponse implements RoutedResponse {
        private final UpstreamResponse response;
        private boolean finished;

        StreamedResponse(UpstreamResponse response) {
            this.response = response;
        }

        @Override
        public int status() {
            return response.status();
        }

        @Override
        public List<HeaderField> headers() {
            return response.headers();
        }

        @Override
        public Executed executed() {
            return status() == 503 && isLeaving() ? Executed.UNKNOWN : Executed.YES;
        }

        @Override
        public void writeTo(OutputStream output) throws IOException {
            long length = response.bodyLength();
            byte[] buffer = new byte[bufferBytes(length)];
            InputStream body = openBody();
            long total = 0;
            int count = read(body, buffer);
            while (count >= 0) {
                write(output, buffer, count);
                total += count;
                // The last part is flushed when the response ends, together with the headers if they were not sent yet.
                if (total != length && body.available() == 0) {
                    flush(output);
                }
                count = read(body, buffer);
            }
            broker.statistics().recordServiceTime(request.service(), clock.nowNanos() - startNanos);
            finish(true, runnerOutcome());
            response.close();
        }

        private static int bufferBytes(long length) {
            return length < 0 ? BUFFER_BYTES : Math.clamp(length, 1, BUFFER_BYTES);
        }

        private InputStream openBody() throws IOException {
            try {
                return response.body();
            } catch (IOException e) {
                throw upstreamFailed(e);
            }
        }

        private int read(InputStream body, byte[] buffer) throws IOException {
            try {
                return body.read(buffer);
            } catch (IOException e) {
                throw upstreamFailed(e);
            }
        }

        private void write(OutputStream output, byte[] buffer, int count) throws IOException {
            try {
                output.write(buffer, 0, count);
            } catch (IOException e) {
                discard();
                throw e;
            }
        }

        private void flush(OutputStream output) throws IOException {
            try {
                output.flush();
            } catch (IOException e) {
                discard();
                throw e;
            }
        }

        private IOException upstreamFailed(IOException cause) {
            boolean aborted = response.isAborted();
            finish(!aborted, aborted ? RunnerOutcome.NOT_JUDGED : RunnerOutcome.FAILED);
            closeQuietly();
            return cause;
        }

        /** Reads the rest of the response in the background, so that the caller's thread can end at once. */
        @Override
        public void discard() {
            if (markFinished()) {
                RunnerOutcome outcome = runnerOutcome();
                Thread.ofVirtual().start(() -> broker.finish(slot, drain(response, MAX_DRAIN_BYTES), outcome));
            }
        }

        private void finish(boolean ended, RunnerOutcome outcome) {
            if (markFinished()) {
                broker.finish(slot, ended, outcome);
            }
        }

        private synchronized boolean markFinished() {
            boolean first = !finished;
            finished = true;
            return first;
        }

        private RunnerOutcome runnerOutcome() {
            if (isLeaving()) {
                return RunnerOutcome.LEAVING;
            }
            return status() >= 500 ? RunnerOutcome.FAILED : RunnerOutcome.ANSWERED;
        }

        private boolean isLeaving() {
            return headers().stream().anyMatch(field -> field.name().equalsIgnoreCase(Headers.LEAVING));
        }

        private void closeQuietly() {
            try {
                response.close();
            } catch (IOException e) {
                // The connection is already closed.
                return;
            }
        }
    }
}
