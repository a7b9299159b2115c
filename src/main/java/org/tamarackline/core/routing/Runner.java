package org.tamarackline.core.routing;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;

/**
 * A process of an upstream to which requests can be routed.
 *
 * @param id identifier of the process in the VM list
 * @param service service that the process serves
 * @param dataCentre data centre of the VM
 * @param address IP address and port for requests
 * @param slots number of requests that it serves at once
 * @param connections number of connections that it accepts from all nodes together
 * @param accepting whether it may get new requests; false if it is leaving or out of service
 */
public record Runner(
        RunnerId id,
        ServiceName service,
        DataCentre dataCentre,
        String address,
        int slots,
        int connections,
        boolean accepting) {}
