package org.tamarackline.core.model;

/**
 * One VM in the platform's list.
 *
 * @param id identifier of the VM
 * @param role {@code worker}, or the name of the service whose runner it is
 * @param address IP number and port of its control or request socket
 * @param dataCentre data centre of the VM
 * @param rack rack of the VM
 * @param state whether the VM is leaving
 * @param slots requests that a runner serves at once, 0 for a worker
 * @param connections connections that a runner accepts, 0 for a worker
 * @param capacity processors, memory and accelerators
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

    /** Whether the VM stays. */
    public enum State {
        /** In use. */
        LIVE,
        /** About to be removed; gets no new work. */
        LEAVING
    }
}
