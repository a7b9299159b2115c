package org.tamarackline.entry.proxy;

import java.util.Optional;

import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ServiceName;

/**
 * A caller's latency-critical request after its validation by {@link RequestValidator}.
 *
 * @param service service to be called
 * @param caller authenticated caller
 * @param upstreamRequest request to send to a runner, without the header for the remaining time
 * @param deadlineNanos time by which the response headers must have arrived
 * @param idempotent whether the request may be executed more than once
 * @param idempotencyKey key under which a non-idempotent request is sent at most once
 */
public record ValidatedRequest(
        ServiceName service,
        CallerName caller,
        UpstreamRequest upstreamRequest,
        long deadlineNanos,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey) {}
