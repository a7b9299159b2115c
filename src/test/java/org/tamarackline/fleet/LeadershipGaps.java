package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;

/**
 * Checks for how long no leader of a {@link ClusterSimulation} starts and stops tasks.
 *
 * <p>The bound counts from the last moment at which a leader did, across any number of epochs, and anew from each fault.
 */
final class LeadershipGaps {

    private static final Duration MAX_GAP = Duration.ofSeconds(4);

    private static final long NANOS_PER_MS = 1_000_000;

    private final ManualLoop loop;
    private final RunHistory history;
    private long lastActingNanos;
    private long lastFaultNanos;
    private boolean reported;

    LeadershipGaps(ManualLoop loop, RunHistory history) {
        this.loop = loop;
        this.history = history;
    }

    /** A fault begins or ends, or is in effect. */
    void disturbed() {
        lastFaultNanos = loop.nowNanos();
    }

    /** Checks the time without a leader that acts; to be called at short intervals. */
    void check(List<SimulatedNode> nodes) {
        if (nodes.stream().anyMatch(LeadershipGaps::acts)) {
            lastActingNanos = loop.nowNanos();
            reported = false;
            return;
        }
        long gapNanos = loop.nowNanos() - Math.max(lastActingNanos, lastFaultNanos);
        if (gapNanos > MAX_GAP.toNanos() && !reported) {
            reported = true;
            history.report(
                    RunHistory.Rule.NO_LEADER_ACTS,
                    "all nodes",
                    "no leader acts since %d ms, and no fault since %d ms"
                            .formatted(lastActingNanos / NANOS_PER_MS, lastFaultNanos / NANOS_PER_MS));
        }
    }

    private static boolean acts(SimulatedNode node) {
        return node.leader()
                .filter(leader -> leader.loaded()
                        && leader.leading()
                        && leader.maySendCommands()
                        && leader.leaseLimitPermitsLeases())
                .isPresent();
    }
}
