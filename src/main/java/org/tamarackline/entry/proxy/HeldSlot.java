package org.tamarackline.entry.proxy;

import java.util.Optional;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.routing.SlotLease;

/**
 * A slot that this node may use for one request.
 *
 * @param lease slot and runner
 * @param lender node that lent the slot, empty if this node owns the runner
 * @param abortDeadlineNanos time at which the request must be aborted, because the slot may be granted again soon after
 */
public record HeldSlot(SlotLease lease, Optional<NodeId> lender, long abortDeadlineNanos) {

    /** Returns the runner. */
    public Runner runner() {
        return lease.runner();
    }
}
