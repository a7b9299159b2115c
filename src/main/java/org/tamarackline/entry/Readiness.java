package org.tamarackline.entry;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.entry.cluster.Cluster;

/** Whether the load balancer should send requests to this node. Thread-safe. */
@Singleton
public final class Readiness {

    /** Why a node is not ready. */
    public enum Reason {
        /** No configuration has been learnt yet. */
        NO_CONFIGURATION,
        /** The node cannot know whether another node took over. */
        ISOLATED,
        /** The node is shutting down. */
        DRAINING
    }

    /** Steps of a node's life; each node goes through them in this order. */
    private enum Phase {
        SERVING,
        DRAINING,
        CLOSED
    }

    private final Optional<Cluster> cluster;
    private volatile Phase phase = Phase.SERVING;

    /** Creates the readiness of a node. */
    @Inject
    public Readiness(Optional<Cluster> cluster) {
        this.cluster = cluster;
    }

    /** Returns the reasons for which the node is not ready; none if it is ready. */
    public Set<Reason> reasons() {
        Set<Reason> reasons = EnumSet.noneOf(Reason.class);
        if (cluster.flatMap(Cluster::configuration).isEmpty()) {
            reasons.add(Reason.NO_CONFIGURATION);
        }
        if (cluster.isPresent() && cluster.get().membershipStatus() == MembershipStatus.ISOLATED) {
            reasons.add(Reason.ISOLATED);
        }
        if (phase != Phase.SERVING) {
            reasons.add(Reason.DRAINING);
        }
        return reasons;
    }

    /** Makes the node not ready; it still serves what arrives until {@link #closeAdmission()}. */
    public void startDraining() {
        phase = Phase.DRAINING;
    }

    /** Makes the node refuse new requests. */
    public void closeAdmission() {
        phase = Phase.CLOSED;
    }

    /** Returns whether new requests are still taken. */
    public boolean admits() {
        return phase != Phase.CLOSED;
    }
}
