package org.tamarackline.entry.proxy;

import java.util.Optional;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.routing.SlotLease;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessage;

/** Handles the slot messages of other nodes, which {@link SlotPeerClient} sends. */
@Singleton
public final class SlotPeerHandler implements PeerHandler {

    /** Time after which a refused node may try to borrow again, in milliseconds. */
    private static final long RETRY_AFTER_MS = 20;

    private final SlotBroker broker;

    /** Creates the handler. */
    @Inject
    public SlotPeerHandler(SlotBroker broker) {
        this.broker = broker;
    }

    @Override
    public Optional<PeerMessage> handle(NodeId sender, PeerMessage request) {
        return switch (request) {
            case SlotMessages.BorrowSlot borrow -> Optional.of(lend(sender, borrow));
            case SlotMessages.ReturnSlot report -> {
                broker.applyReport(report);
                yield Optional.of(new PeerMessage.Ok());
            }
            case SlotMessages.CancelBorrow cancel -> {
                broker.cancelGrant(cancel.grantId());
                yield Optional.of(new PeerMessage.Ok());
            }
            case SlotMessages.SlotFree free -> {
                broker.onSlotFree(sender, free.service());
                yield Optional.of(new PeerMessage.Ok());
            }
            case PeerMessage other -> Optional.empty();
        };
    }

    private PeerMessage lend(NodeId borrower, SlotMessages.BorrowSlot request) {
        Optional<SlotLease> lease = broker.lend(borrower, request);
        if (lease.isEmpty()) {
            return new SlotMessages.NoSlot(RETRY_AFTER_MS);
        }
        return new SlotMessages.SlotGrant(
                lease.get().grantId(), lease.get().shard(), lease.get().runner());
    }
}
