package org.tamarackline.entry.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.entry.StateDump;

/** The routing section of the state dump: load of the owned runners, slots in use and waiting requests. */
@Singleton
public final class RoutingDump implements StateDump {

    private final SlotAllocator allocator;
    private final RequestsInFlight inFlight;

    /** Creates the dump. */
    @Inject
    public RoutingDump(SlotAllocator allocator, RequestsInFlight inFlight) {
        this.allocator = allocator;
        this.inFlight = inFlight;
    }

    /**
     * The content of the dump.
     *
     * @param requestsInFlight requests that this node has not finished yet
     * @param slots state of the slots of owned runners
     */
    public record Content(int requestsInFlight, SlotAllocator.Snapshot slots) {}

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public Object snapshot() {
        return new Content(inFlight.count(), allocator.snapshot());
    }
}
