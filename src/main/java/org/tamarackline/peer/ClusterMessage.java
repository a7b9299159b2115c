package org.tamarackline.peer;

/** A message about membership, ownership and configuration. */
public non-sealed interface ClusterMessage extends PeerMessage {}
