package org.tamarackline.core.routing;

import java.util.List;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;

/**
 * The uses of a runner group's slots that are still open when the group changes its owner.
 *
 * @param occupiedMs time for which all slots still count as occupied after an earlier takeover, in milliseconds
 * @param uses open uses
 */
public record SlotHandover(long occupiedMs, List<OpenUse> uses) {

    /** Creates a handover that later changes of the argument do not affect. */
    public SlotHandover {
        uses = List.copyOf(uses);
    }

    /**
     * One open use.
     *
     * @param grantId identifier of the use, which stays valid at the next owner
     * @param runner runner in use
     * @param holder node that sent the request
     * @param remainingMs time until the use has surely ended, in milliseconds, rounded up
     */
    public record OpenUse(long grantId, RunnerId runner, NodeId holder, long remainingMs) {}
}
