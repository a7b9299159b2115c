/**
 * Calls between the nodes: length-prefixed MessagePack over TCP.
 *
 * <p>A frame is a 4-byte big-endian length and a MessagePack map of at most 1 MB. A connection starts with a handshake in
 * which both sides name their protocol version, node id and incarnation and prove that they know the shared key: each
 * sends an HMAC-SHA256 over both identities and both nonces, under a label of its own so that a proof cannot be sent
 * back. Requests carry an id, so that several calls share a connection and a late answer reaches its own caller or nobody.
 *
 * <p>Limits: the handshake authenticates the peer at the start of the connection only. The later stream is neither
 * encrypted nor protected against change by a party on the path; the nodes must run on a network where that is acceptable.
 */
package org.tamarackline.peer;
