package org.tamarackline.entry.operator;

import org.tamarackline.core.model.NodeId;

/** Applies an operator's confirmation that the process of a node has ended. */
public interface NodeStopConfirmer {

    /**
     * Lets other nodes take over the shards of {@code node} without waiting for the end of an outage.
     *
     * @throws OperatorException if there is no such node, it is live, the platform is unreachable, or the outcome is
     *     unknown
     */
    void confirmStopped(NodeId node) throws OperatorException;
}
