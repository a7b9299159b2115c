package org.tamarackline.peer;

/**
 * A type of message that nodes may exchange, registered by the subsystem that declares it.
 *
 * @param name stable name of the type on the wire
 * @param type record that carries the message
 */
public record PeerMessageType(String name, Class<? extends PeerMessage> type) {}
