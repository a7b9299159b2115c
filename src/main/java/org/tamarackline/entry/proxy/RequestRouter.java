package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.idempotency.RequestDigests;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.core.usage.AttemptOutcome;
import org.tamarackline.entry.Executed;
import org.tamarackline.entry.cluster.Cluster;

/**
 * Routes a latency-critical request to a runner and retries it on another runner where that is safe.
 *
 * <p>A retry is safe if no byte of the first attempt was handed to a connection, or if the request is idempotent. In both
 * cases the body must still be available. Thread-safe; {@link #route} blocks its thread.
 */
@Singleton
public final class RequestRouter {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int MAX_ATTEMPTS = 3;

    private final Cluster cluster;
    private final SlotBroker broker;
    private final RunnerDirectory directory;
    private final UpstreamClient client;
    private final IdempotencyStore idempotency;
    private final RequestMeter meter;
    private final MonotonicClock clock;

    /** Creates the router. */
    @Inject
    public RequestRouter(
            Cluster cluster,
            SlotBroker broker,
            RunnerDirectory directory,
            UpstreamClient client,
            IdempotencyStore idempotency,
            RequestMeter meter,
            MonotonicClock clock) {
        this.cluster = cluster;
        this.broker = broker;
        this.directory = directory;
        this.client = client;
        this.idempotency = idempotency;
        this.meter = meter;
        this.clock = clock;
    }

    /**
     * Sends the request and returns the response once its headers have arrived.
     *
     * @throws RequestException if there is no response; it states whether the request may have been executed
     */
    public RoutedResponse route(ValidatedRequest request) throws RequestException {
        broker.statistics().recordRequest(request.service());
        return new RequestAttempts(request).execute();
    }

    /** The attempts of one request and their state. */
    private final class RequestAttempts {
        private final ValidatedRequest request;
        private final Set<RunnerId> failedRunners = new HashSet<>();
        private Executed executed = Executed.NO;
        private boolean hasAttemptsLeft;
        private boolean retryingSlowAttempt;
        private Optional<IdempotencyStore.Claim> claim = Optional.empty();

        RequestAttempts(ValidatedRequest request) {
            this.request = request;
        }

        RoutedResponse execute() throws RequestException {
            try {
                return attemptAll();
            } catch (RequestException e) {
                if (e.executed() == Executed.NO) {
                    claim.ifPresent(idempotency::withdraw);
                }
                throw e;
            }
        }

        private RoutedResponse attemptAll() throws RequestException {
            int attempt = 1;
            while (true) {
                hasAttemptsLeft = attempt < MAX_ATTEMPTS;
                HeldSlot slot = acquire();
                Optional<RoutedResponse> replayed = claimKey(slot);
                if (replayed.isPresent()) {
                    return replayed.get();
                }
                long startNanos = clock.nowNanos();
                try {
                    RoutedResponse response = new MeteredResponse(
                            send(slot), outcome -> meter.record(request.service(), startNanos, outcome));
                    if (attempt == MAX_ATTEMPTS || !tryRetryUnavailable(response, slot)) {
                        return recordIfClaimed(response);
                    }
                    executed = Executed.UNKNOWN;
                    response.discard();
                } catch (UpstreamException e) {
                    recordFailure(slot, e);
                    boolean willRetry = attempt < MAX_ATTEMPTS && (retryingSlowAttempt || tryRetryFailed(e));
                    recordUsage(e, startNanos, willRetry);
                    if (!willRetry) {
                        throw toRequestException(e);
                    }
                    retryingSlowAttempt = false;
                }
                attempt++;
            }
        }

        /**
         * Claims the idempotency key before the first send. The slot is acquired first, so that a request that is shed costs
         * no write. Returns the response of an earlier request with the key, if there was one.
         */
        private Optional<RoutedResponse> claimKey(HeldSlot slot) throws RequestException {
            if (request.idempotencyKey().isEmpty() || claim.isPresent()) {
                return Optional.empty();
            }
            boolean keepSlot = false;
            try {
                IdempotencyStore.ClaimResult result =
                        idempotency.claim(request.idempotencyKey().get(), digest());
                if (result instanceof IdempotencyStore.ClaimResult.Claimed claimed) {
                    claim = Optional.of(claimed.claim());
                    keepSlot = true;
                }
                return result.replayedResponse();
            } finally {
                if (!keepSlot) {
                    broker.finish(slot, true, RunnerOutcome.NOT_JUDGED);
                }
            }
        }

        private String digest() throws RequestException {
            UpstreamRequest upstreamRequest = request.upstreamRequest();
            try {
                byte[] prefix = upstreamRequest.body().bufferPrefix();
                return RequestDigests.digest(
                        upstreamRequest.method(),
                        upstreamRequest.target(),
                        prefix,
                        upstreamRequest.body().length());
            } catch (IOException e) {
                throw RequestException.notExecuted(RequestErrorCode.BAD_REQUEST, "the request body could not be read");
            }
        }

        private RoutedResponse recordIfClaimed(RoutedResponse response) {
            return claim.<RoutedResponse>map(claimed -> new RecordingResponse(response, idempotency, claimed))
                    .orElse(response);
        }

        /** Reads a late response to its end, so that its slot is released and a repeat of the request finds its record. */
        private void drainLateResponse(RoutedResponse response) {
            try {
                recordIfClaimed(response).writeTo(OutputStream.nullOutputStream());
            } catch (IOException e) {
                LOG.atFine().withCause(e).log("late response not read to its end");
            }
        }

        private HeldSlot acquire() throws RequestException {
            try {
                return broker.acquire(request.service(), request.deadlineNanos(), failedRunners);
            } catch (RequestException e) {
                throw new RequestException(e.code(), executed, e.getMessage());
            }
        }

        private RoutedResponse send(HeldSlot slot) throws UpstreamException {
            ValidatedRequest requestWithDeadline = withRemainingTime();
            return new UpstreamAttempt(
                            client,
                            broker,
                            clock,
                            requestWithDeadline,
                            slot,
                            () -> cluster.membershipStatus() != MembershipStatus.ISOLATED,
                            this::drainLateResponse)
                    .send(this::tryRetrySlowAttempt);
        }

        private ValidatedRequest withRemainingTime() {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - clock.nowNanos());
            UpstreamRequest upstreamRequest = request.upstreamRequest();
            List<HeaderField> headers = new ArrayList<>(upstreamRequest.headers());
            headers.add(new HeaderField(Headers.DEADLINE_MS, Long.toString(Math.max(1, remainingMs))));
            return new ValidatedRequest(
                    request.service(),
                    request.caller(),
                    new UpstreamRequest(
                            upstreamRequest.method(), upstreamRequest.target(), headers, upstreamRequest.body()),
                    request.deadlineNanos(),
                    request.idempotent(),
                    request.idempotencyKey());
        }

        private void recordFailure(HeldSlot slot, UpstreamException e) {
            failedRunners.add(slot.runner().id());
            if (e.executed() != Executed.NO) {
                executed = Executed.UNKNOWN;
            }
        }

        private void recordUsage(UpstreamException e, long startNanos, boolean willRetry) {
            if (e.executed() != Executed.NO) {
                meter.record(
                        request.service(), startNanos, willRetry ? AttemptOutcome.REPEATED : AttemptOutcome.FAILED);
            }
        }

        private boolean tryRetryFailed(UpstreamException e) {
            boolean retryable =
                    e.reason() == UpstreamException.Reason.UNREACHABLE || e.reason() == UpstreamException.Reason.BROKEN;
            if (!retryable || !request.upstreamRequest().body().canBeSent() || !hasOtherRunner()) {
                return false;
            }
            return executed == Executed.NO
                    || (request.idempotent() && broker.statistics().tryAcquireRetry(request.service()));
        }

        /**
         * Returns whether to abandon a slow attempt and retry on another runner, and if so takes a retry from the budget. Only
         * an idempotent request is retried, and only if another runner accepts work and the deadline has not passed.
         */
        private boolean tryRetrySlowAttempt() {
            retryingSlowAttempt = hasAttemptsLeft
                    && request.idempotent()
                    && request.upstreamRequest().body().canBeSent()
                    && request.deadlineNanos() - clock.nowNanos() > 0
                    && directory.acceptingRunnersOf(request.service()).size() > failedRunners.size() + 1
                    && broker.statistics().tryAcquireRetry(request.service());
            return retryingSlowAttempt;
        }

        /**
         * Returns whether to retry an idempotent request whose response is 502, 503 or 504, which say that the runner cannot
         * serve it, and if so takes a retry from the budget.
         */
        private boolean tryRetryUnavailable(RoutedResponse response, HeldSlot slot) {
            boolean unavailable = response.status() >= 502 && response.status() <= 504;
            if (!unavailable
                    || !request.idempotent()
                    || !request.upstreamRequest().body().canBeSent()) {
                return false;
            }
            failedRunners.add(slot.runner().id());
            return hasOtherRunner() && broker.statistics().tryAcquireRetry(request.service());
        }

        private boolean hasOtherRunner() {
            return directory.acceptingRunnersOf(request.service()).stream()
                    .anyMatch(runner -> !failedRunners.contains(runner.id()));
        }

        private RequestException toRequestException(UpstreamException e) {
            return switch (e.reason()) {
                case UNREACHABLE ->
                    new RequestException(
                            RequestErrorCode.UPSTREAM_UNREACHABLE,
                            executed,
                            "no connection to a runner could be opened");
                case NOT_ADMITTED ->
                    new RequestException(
                            RequestErrorCode.NOT_READY,
                            executed,
                            "this node lost contact with the platform and its peers");
                case TIMEOUT ->
                    new RequestException(
                            RequestErrorCode.DEADLINE_EXCEEDED,
                            executed,
                            "the runner did not respond before the deadline");
                case BROKEN ->
                    new RequestException(
                            RequestErrorCode.UPSTREAM_FAILED,
                            executed,
                            "the runner closed the connection or sent an invalid response");
                case CALLER_BODY_FAILED ->
                    new RequestException(RequestErrorCode.BAD_REQUEST, executed, "the request body could not be read");
            };
        }
    }
}
