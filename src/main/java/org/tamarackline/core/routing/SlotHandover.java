package org.tamarackline.core.routing;

import java.util.List;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;

/**
 * The state of a runner group's slots that the old owner sends to the new one. An open use is a granted slot that was not
 * returned.
 *
 * @param occupiedMs remaining time for which all slots count as occupied after an earlier takeover, in milliseconds
 * @param uses open uses of the slots
 */
public record SlotHandover(long occupiedMs, List<OpenUse> uses) {

    /** Creates a handover that later changes of the argument do not affect. */
    public SlotHandover {
        uses = List.copyOf(uses);
    }

    /**
     * One open use of a slot.
     *
     * @param grantId identifier of the use, also valid at the new owner
     * @param runner runner that serves the request
     * @param holder node that sent the request
     * @param remainingMs time after which the use has certainly ended, in milliseconds, rounded up
     */
    public record OpenUse(long grantId, RunnerId runner, NodeId holder, long remainingMs) {}
}
