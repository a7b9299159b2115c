package org.tamarackline.core.membership;

import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/**
 * A member's record that it sees another one silent and gives it no outage evidence.
 *
 * @param node silent member
 * @param incarnation incarnation of the silent member
 * @param counter heartbeat counter at which the member is silent; a higher one ends the record
 */
public record SilentPeer(NodeId node, Incarnation incarnation, long counter) {}
