/**
 * Calls between nodes, as length-prefixed MessagePack over TCP.
 *
 * <p>A frame is a 4-byte big-endian length and a MessagePack map of at most 1 MB. A connection starts with a handshake
 * in which both sides send their protocol version, node id and incarnation and prove that they know the shared key:
 * each sends an HMAC-SHA256 over both identities and both nonces. The label in the HMAC differs between client and
 * server, so that a proof cannot be reflected. Requests carry an id, so that several calls can share a connection and a
 * late response cannot be mistaken for that of another call.
 *
 * <p>Limitations: the handshake authenticates the peer only when the connection opens. The subsequent stream is neither
 * encrypted nor protected against modification in transit; the nodes must run on a network where that is acceptable.
 */
package org.tamarackline.peer;
