package org.tamarackline.entry.operator;

import org.tamarackline.core.model.NodeId;

/** Takes an operator's word that the process of a node has ended. */
public interface NodeStopConfirmer {

    /**
     * Lets other nodes take the shards of {@code node} without waiting for the end of an outage.
     *
     * @throws OperatorException if there is no such node, it is live, or the platform is out of reach
     */
    void confirmStopped(NodeId node) throws OperatorException;
}
