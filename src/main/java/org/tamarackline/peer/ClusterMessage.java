package org.tamarackline.peer;

/** A message between nodes about membership, shard ownership or configuration. */
public non-sealed interface ClusterMessage extends PeerMessage {}
