package org.tamarackline.core.routing;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.RunnerId;
import org.tamarackline.core.model.ServiceName;

/**
 * One process of an upstream as the routing sees it.
 *
 * @param id identifier in the VM list
 * @param service service that it serves
 * @param dataCentre data centre of the VM
 * @param address IP number and port of its request socket
 * @param slots requests that it serves at once
 * @param connections connections that it accepts from all nodes together
 * @param accepting whether it may get new work: neither leaving nor taken out of service
 */
public record Runner(
        RunnerId id,
        ServiceName service,
        DataCentre dataCentre,
        String address,
        int slots,
        int connections,
        boolean accepting) {}
