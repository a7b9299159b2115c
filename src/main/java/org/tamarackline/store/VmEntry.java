package org.tamarackline.store;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.VmRecord;

/**
 * A VM in the JSON form of the platform's VM list.
 *
 * @param id identifier of the VM
 * @param role {@code worker}, or the name of the service whose runner it is
 * @param address IP address and port for control calls to a worker or requests to a runner
 * @param dataCentre data centre of the VM
 * @param rack rack of the VM
 * @param state whether the VM is leaving
 * @param slots maximum number of concurrent requests of a runner, 0 for a worker
 * @param connections maximum number of connections to a runner, 0 for a worker
 * @param processors number of processors, which may be a fraction
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
public record VmEntry(
        String id,
        String role,
        String address,
        String dataCentre,
        String rack,
        VmRecord.State state,
        int slots,
        int connections,
        double processors,
        long memoryMb,
        int accelerators) {

    private static final double MILLIS_PER_PROCESSOR = 1000;

    /** Returns the entry for {@code vm}. */
    public static VmEntry of(VmRecord vm) {
        Resources capacity = vm.capacity();
        return new VmEntry(
                vm.id(),
                vm.role(),
                vm.address(),
                vm.dataCentre().value(),
                vm.rack(),
                vm.state(),
                vm.slots(),
                vm.connections(),
                capacity.processorMillis() / MILLIS_PER_PROCESSOR,
                capacity.memoryMb(),
                capacity.accelerators());
    }

    /**
     * Returns the VM that this entry describes.
     *
     * @throws IllegalArgumentException if the data centre is not a valid identifier
     */
    public VmRecord toRecord() {
        Resources capacity = new Resources(Math.round(processors * MILLIS_PER_PROCESSOR), memoryMb, accelerators);
        return new VmRecord(id, role, address, new DataCentre(dataCentre), rack, state, slots, connections, capacity);
    }
}
