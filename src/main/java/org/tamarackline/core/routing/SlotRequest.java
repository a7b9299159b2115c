package org.tamarackline.core.routing;

import java.util.Set;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;

/**
 * A request for one slot of a service, to be granted by {@link SlotTracker}.
 *
 * @param grantId identifier chosen by the holder at random, so that it can return the slot even if the response is lost
 * @param service service to which the request is sent
 * @param holder node that will send the request
 * @param preferredDataCentre data centre whose runners are preferred
 * @param connectionLimit limit of the holder's connections to one runner
 * @param excluded runners that must not be used
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
