package org.tamarackline.peer;

/** A message between nodes about jobs and tasks. */
public non-sealed interface JobMessage extends PeerMessage {}
