package org.tamarackline.entry.cluster;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.PlatformUnavailableException;

/** Polls the node rows and the configuration version. */
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

    /** Polls once. The poll counts for the standing only if the current configuration is in force afterwards. */
    void tick() {
        long sentNanos = clock.nowNanos();
        try {
            NodeScan scan = table.scanNodes();
            membership.recordPlatformResponse(sentNanos);
            membership.recordPoll(scan, sentNanos, clock.nowNanos());
            if (configurationReplica.poll()) {
                membership.recordCompletePoll(sentNanos);
            }
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("poll failed");
        }
    }
}
