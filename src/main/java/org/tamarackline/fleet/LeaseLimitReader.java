package org.tamarackline.fleet;

import java.util.function.Consumer;

/** Reads the record of the lease limit from the store. */
final class LeaseLimitReader {

    private final NodeServices services;

    LeaseLimitReader(NodeServices services) {
        this.services = services;
    }

    /** Reads the record; the page is empty if there is none. */
    void read(Consumer<RecordStore.ReadResult> callback) {
        RepeatedRead.ofTable(
                services.loop(),
                services.store(),
                RecordStore.Table.LEASES,
                LeaseLimitRecord.KEY,
                LeaseLimitRecord.KEY + "\u0000",
                () -> services.log().readRepeated("leases", HedgedRead.ATTEMPT_TIMEOUT.toMillis()),
                result -> {
                    services.metrics()
                            .readCompleted(FleetMetrics.ReadPurpose.LEASE_LIMIT, FleetMetrics.ReadOutcome.of(result));
                    callback.accept(result);
                });
    }
}
