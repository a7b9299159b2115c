package org.tamarackline.core.membership;

import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/**
 * A record in a node's row that another member is silent. While it is in force, the node gives that member no outage evidence.
 *
 * @param node silent member
 * @param incarnation incarnation of the silent member
 * @param counter last heartbeat counter of the silent member; the record does not apply to a higher one
 */
public record SilentPeer(NodeId node, Incarnation incarnation, long counter) {}
