package org.tamarackline.peer;

/** A message between nodes about slots of runners. */
public non-sealed interface RoutingMessage extends PeerMessage {}
