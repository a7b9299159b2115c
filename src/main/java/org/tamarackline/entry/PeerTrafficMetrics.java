package org.tamarackline.entry;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import org.tamarackline.peer.PeerTraffic;

/** Registers the counters of the bytes that this node exchanges with other nodes. */
@Singleton
final class PeerTrafficMetrics {

    private static final String NAME = "control_bytes_total";
    private static final String DESCRIPTION = "Bytes exchanged with other nodes";
    private static final String DIRECTION = "direction";

    @Inject
    PeerTrafficMetrics(MeterRegistry meters, PeerTraffic traffic) {
        FunctionCounter.builder(NAME, traffic, PeerTraffic::sentBytes)
                .tag(DIRECTION, "sent")
                .description(DESCRIPTION)
                .register(meters);
        FunctionCounter.builder(NAME, traffic, PeerTraffic::receivedBytes)
                .tag(DIRECTION, "received")
                .description(DESCRIPTION)
                .register(meters);
    }
}
