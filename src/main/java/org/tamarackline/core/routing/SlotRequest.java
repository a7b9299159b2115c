package org.tamarackline.core.routing;

import java.util.Set;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;

/**
 * A wish for one slot.
 *
 * @param grantId identifier that the holder chose at random, so that it can return the slot even if the answer is lost
 * @param service service to be called
 * @param holder node that will send the request
 * @param preferredDataCentre data centre whose runners are tried first
 * @param connectionLimit connections to one runner that each node may use
 * @param excluded runners that must not be chosen
 */
public record SlotRequest(
        long grantId,
        ServiceName service,
        NodeId holder,
        DataCentre preferredDataCentre,
        ConnectionLimit connectionLimit,
        Set<RunnerId> excluded) {

    /** Creates a request that later changes of the arguments do not affect. */
    public SlotRequest {
        excluded = Set.copyOf(excluded);
    }
}
