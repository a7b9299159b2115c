package org.tamarackline.store;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.settings.Addresses;

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

    /** Far above any machine, and small enough that the sums over all VMs do not overflow. */
    private static final long MAX_AMOUNT = 1_000_000;

    private static final long MAX_MEMORY_MB = 1_000_000_000;
    private static final long MAX_ACCELERATORS = 1_000;

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
     * @throws IllegalArgumentException if a field is missing or out of range
     */
    public VmRecord toRecord() {
        check(id != null && !id.isEmpty(), "the id is missing");
        check(role != null && rack != null && state != null && dataCentre != null, "a field is missing");
        check(address != null && Addresses.isIpAndPort(address), "the address is not an IPv4 address and a port");
        check(slots >= 0 && slots <= MAX_AMOUNT, "the number of slots is out of range");
        check(connections >= 0 && connections <= MAX_AMOUNT, "the number of connections is out of range");
        // Also false for a value that is not a number.
        check(processors >= 0 && processors <= MAX_AMOUNT, "the number of processors is out of range");
        check(memoryMb >= 0 && memoryMb <= MAX_MEMORY_MB, "the memory is out of range");
        check(accelerators >= 0 && accelerators <= MAX_ACCELERATORS, "the number of accelerators is out of range");
        Resources capacity = new Resources(Math.round(processors * MILLIS_PER_PROCESSOR), memoryMb, accelerators);
        return new VmRecord(id, role, address, new DataCentre(dataCentre), rack, state, slots, connections, capacity);
    }

    private static void check(boolean valid, String failure) {
        if (!valid) {
            throw new IllegalArgumentException(failure);
        }
    }
}
