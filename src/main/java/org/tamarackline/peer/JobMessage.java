package org.tamarackline.peer;

/** A message about jobs and tasks. */
public non-sealed interface JobMessage extends PeerMessage {}
