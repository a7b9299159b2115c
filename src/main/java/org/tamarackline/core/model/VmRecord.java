package org.tamarackline.core.model;

/**
 * A VM in the platform's VM list.
 *
 * @param id identifier of the VM
 * @param role {@code worker}, or the name of the service whose runner it is
 * @param address IP address and port for commands to a worker or requests to a runner
 * @param dataCentre data centre of the VM
 * @param rack rack of the VM
 * @param state whether the VM is about to be removed
 * @param slots number of requests that a runner serves at once, 0 for a worker
 * @param connections number of connections that a runner accepts, 0 for a worker
 * @param capacity processors, memory and accelerators of the VM
 */
public record VmRecord(
        String id,
        String role,
        String address,
        DataCentre dataCentre,
        String rack,
        State state,
        int slots,
        int connections,
        Resources capacity) {

    /** The role of VMs that run tasks. */
    public static final String WORKER_ROLE = "worker";

    /** Whether a VM is about to be removed. */
    public enum State {
        /** The VM is in use. */
        LIVE,
        /** The VM is about to be removed and gets no new work. */
        LEAVING
    }
}
