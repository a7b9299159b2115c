package org.tamarackline.fleet;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how pings are read from the paths of requests. */
class PeerPathsTest {

    @Test
    void pingIsReadAsItWasWritten() {
        PeerCalls.PingRequest ping = new PeerCalls.PingRequest("node/1 ä%", new NodeCapacity(1_500, 682, 999_999_999));
        assertThat(PeerPaths.parsePing(PeerPaths.ping(ping))).contains(ping);
    }

    /** Guards against a node that refuses the pings of an earlier version during an upgrade. */
    @Test
    void pingWithoutCapacityIsOfAnUnknownOne() {
        assertThat(PeerPaths.parsePing("/ping/node-1"))
                .contains(new PeerCalls.PingRequest("node-1", NodeCapacity.UNKNOWN));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/ping/",
                "/ping/%zz",
                "/ping/n/1/2",
                "/ping/n/1/2/3/4",
                "/ping/n/-1/2/3",
                "/ping/n/1/2/9999999999",
                "/ping/n/1.5/2/3"
            })
    void malformedPingIsNone(String path) {
        assertThat(PeerPaths.parsePing(path)).isEmpty();
    }
}
