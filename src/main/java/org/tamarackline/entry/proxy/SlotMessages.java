package org.tamarackline.entry.proxy;

import java.util.List;
import java.util.Set;

import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.peer.PeerMessageType;
import org.tamarackline.peer.RoutingMessage;

/** The peer messages with which a node borrows and returns slots of runners that another node owns. */
public final class SlotMessages {

    /** The messages with their names on the wire. */
    static final List<PeerMessageType> TYPES = List.of(
            new PeerMessageType("borrowSlot", BorrowSlot.class),
            new PeerMessageType("slotGrant", SlotGrant.class),
            new PeerMessageType("noSlot", NoSlot.class),
            new PeerMessageType("returnSlot", ReturnSlot.class),
            new PeerMessageType("slotFree", SlotFree.class),
            new PeerMessageType("cancelBorrow", CancelBorrow.class));

    private SlotMessages() {}

    /**
     * Requests a slot from the owner for one request.
     *
     * @param grantId identifier of the use, chosen at random by the borrower
     * @param service service to be called
     * @param remainingMs time until the deadline of the request, in milliseconds
     * @param excluded runners that failed this request before
     */
    public record BorrowSlot(long grantId, ServiceName service, long remainingMs, Set<RunnerId> excluded)
            implements RoutingMessage {}

    /**
     * Lends a slot until the deadline of the request.
     *
     * @param grantId identifier from the request
     * @param shard runner group
     * @param runner runner to send to
     */
    public record SlotGrant(long grantId, ShardId shard, Runner runner) implements RoutingMessage {}

    /**
     * The response when no slot is free.
     *
     * @param retryAfterMs time after which the borrower may try again, in milliseconds
     */
    public record NoSlot(long retryAfterMs) implements RoutingMessage {}

    /**
     * Reports on a borrowed slot.
     *
     * @param grantId identifier of the use
     * @param shard runner group
     * @param runner runner that the slot belongs to
     * @param released whether the use has ended; false if the runner may still be working on the request
     * @param health what the request showed about the runner
     */
    public record ReturnSlot(long grantId, ShardId shard, RunnerId runner, boolean released, RunnerOutcome health)
            implements RoutingMessage {}

    /**
     * Releases a slot whose grant may not have reached the borrower.
     *
     * @param grantId identifier of the use
     */
    public record CancelBorrow(long grantId) implements RoutingMessage {}

    /**
     * Notifies a node whose borrow request was refused that a slot is reserved for it. It grants nothing: the node sends a new
     * borrow request, so that the time of a grant always counts from a message of the borrower.
     *
     * @param service service of the runner
     */
    public record SlotFree(ServiceName service) implements RoutingMessage {}
}
