package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Gives the node in whose favour a leader resigned time to take over before others do. Otherwise the first node that reads
 * the resignation takes over, which may lack the capacity as well and resign again.
 */
final class SuccessorTurn {

    /**
     * Time for the successor. It pings a leader that would hand over to it every 0.4 s, and reads and replaces the leader
     * record as soon as that has resigned. The leader renews leases meanwhile.
     */
    private static final Duration TURN = Duration.ofMillis(1_200);

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final String node;

    /** Version of the resignation that this node read last, 0 if there was none. */
    private long version;

    private long firstReadNanos;

    SuccessorTurn(MonotonicClock clock, DecisionLog log, String node) {
        this.clock = clock;
        this.log = log;
        this.node = node;
    }

    /**
     * Returns whether only another node should take over now.
     *
     * @param record leader record that was read
     * @param recordVersion its version
     */
    boolean isOfOther(LeaderRecord record, long recordVersion) {
        if (!record.resignedInFavourOfOtherThan(node)) {
            return false;
        }
        if (version != recordVersion) {
            version = recordVersion;
            firstReadNanos = clock.nowNanos();
            log.leadership(
                    "successor-awaited",
                    record.epoch(),
                    record.node(),
                    "it has resigned in favour of %s, which has %d ms to take over"
                            .formatted(record.successor(), TURN.toMillis()));
        }
        return clock.nowNanos() - firstReadNanos < TURN.toNanos();
    }
}
