package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which simulated nodes have been in touch with the store for long enough that promises with a time bound hold for
 * them. A connection that goes silent does not end the contact, because others work.
 */
final class NodeContacts {

    /** Time without disturbance after which the promises hold. */
    private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private final ManualLoop loop;
    private final SimulatedStore store;
    private final Map<SimulatedNode, Long> disturbedNanos = new HashMap<>();

    NodeContacts(ManualLoop loop, SimulatedStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Records which nodes are disturbed at present; to be called at short intervals. */
    void sample(List<SimulatedNode> nodes) {
        for (SimulatedNode node : nodes) {
            if (disturbed(node)) {
                disturbedNanos.put(node, loop.nowNanos());
            }
        }
    }

    private boolean disturbed(SimulatedNode node) {
        return node.process() == null
                || node.process().loop().suspended()
                || node.storeLink().disturbed()
                || store.availability() != SimulatedStore.Availability.AVAILABLE
                || !store.additionalLatency().isZero();
    }

    /** Returns whether the node's process has run and reached the store without disturbance for the contact time. */
    boolean inTouch(SimulatedNode node) {
        if (node.process() == null) {
            return false;
        }
        long sinceNanos = Math.max(
                node.process().startNanos(),
                disturbedNanos.getOrDefault(node, node.process().startNanos()));
        return loop.nowNanos() - sinceNanos > CONTACT_TIME.toNanos();
    }
}
