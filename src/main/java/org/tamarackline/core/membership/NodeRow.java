package org.tamarackline.core.membership;

import java.util.List;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/**
 * The row of a node in the platform's table.
 *
 * @param node identity of the node
 * @param incarnation incarnation of the process that wrote the row
 * @param counter heartbeat counter, raised by at least one with each heartbeat of an incarnation
 * @param dataCentre data centre of the node
 * @param httpAddress HTTP address for callers
 * @param state whether the node takes part, is leaving or is gone
 * @param silent members that the node records as silent
 */
public record NodeRow(
        NodeId node,
        Incarnation incarnation,
        long counter,
        DataCentre dataCentre,
        String httpAddress,
        NodeState state,
        List<SilentPeer> silent) {

    /** Creates a row that later changes of the arguments do not affect. */
    public NodeRow {
        silent = List.copyOf(silent);
    }

    /** Returns this row with another state. */
    public NodeRow withState(NodeState other) {
        return new NodeRow(node, incarnation, counter, dataCentre, httpAddress, other, silent);
    }

    /** Returns whether this row records {@code other} as silent at the counter of {@code other}. */
    public boolean recordsAsSilent(NodeRow other) {
        return silent.contains(new SilentPeer(other.node, other.incarnation, other.counter));
    }
}
