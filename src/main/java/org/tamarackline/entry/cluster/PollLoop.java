package org.tamarackline.entry.cluster;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.PlatformUnavailableException;

/** Reads the node rows and the configuration version from the platform's table at a fixed interval. */
final class PollLoop {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ClusterTable table;
    private final MembershipState membership;
    private final ConfigurationReplica configurationReplica;
    private final MonotonicClock clock;

    PollLoop(
            ClusterTable table,
            MembershipState membership,
            ConfigurationReplica configurationReplica,
            MonotonicClock clock) {
        this.table = table;
        this.membership = membership;
        this.configurationReplica = configurationReplica;
        this.clock = clock;
    }

    /**
     * Polls once. The poll counts towards the membership status only if the current configuration is in force on this
     * node afterwards.
     */
    void tick() {
        long sentNanos = clock.nowNanos();
        try {
            NodeScan scan = table.scanNodes();
            membership.recordPlatformResponse(sentNanos);
            membership.recordPoll(scan, sentNanos, clock.nowNanos());
            if (configurationReplica.poll()) {
                membership.recordUpToDate(sentNanos);
            }
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("poll of the node rows and the configuration failed");
        }
    }
}
