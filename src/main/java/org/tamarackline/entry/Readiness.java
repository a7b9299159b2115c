package org.tamarackline.entry;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.entry.cluster.Cluster;

/** Tells whether the load balancer should send requests to this node and whether the node accepts them. Thread-safe. */
@Singleton
public final class Readiness {

    /** Why a node is not ready. */
    public enum Reason {
        /** The node has received no configuration yet. */
        NO_CONFIGURATION,
        /** The node cannot know whether another node has taken over its shards. */
        ISOLATED,
        /** The node is shutting down. */
        DRAINING
    }

    /** Phases of a node, in the order in which it goes through them. */
    private enum Phase {
        SERVING,
        DRAINING,
        CLOSED
    }

    private final Optional<Cluster> cluster;
    private volatile Phase phase = Phase.SERVING;

    @Inject
    public Readiness(Optional<Cluster> cluster) {
        this.cluster = cluster;
    }

    /** Returns the reasons why the node is not ready; empty if it is ready. */
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

    /** Makes the node not ready; it accepts requests until {@link #closeAdmission()}. */
    public void startDraining() {
        phase = Phase.DRAINING;
    }

    /** Makes the node refuse new requests. */
    public void closeAdmission() {
        phase = Phase.CLOSED;
    }

    /** Returns whether the node accepts new requests. */
    public boolean admits() {
        return phase != Phase.CLOSED;
    }
}
