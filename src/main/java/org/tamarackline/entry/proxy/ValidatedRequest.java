package org.tamarackline.entry.proxy;

import java.util.Optional;

import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ServiceName;

/**
 * A caller's request after its checks.
 *
 * @param service service to be called
 * @param caller authenticated caller
 * @param upstreamRequest request as it is sent to a runner, but for the time left
 * @param deadlineNanos time by which the answer has to begin
 * @param idempotent whether it may be sent again after a failure
 * @param idempotencyKey key under which a non-idempotent request runs at most once
 */
public record ValidatedRequest(
        ServiceName service,
        CallerName caller,
        UpstreamRequest upstreamRequest,
        long deadlineNanos,
        boolean idempotent,
        Optional<IdempotencyKey> idempotencyKey) {}
