package org.tamarackline.peer;

/** A message about slots of runners. */
public non-sealed interface RoutingMessage extends PeerMessage {}
