package org.tamarackline.peer;

/**
 * A type of message that nodes exchange, registered by the subsystem that declares it.
 *
 * @param name name of the type on the wire; does not change between releases
 * @param type record that carries the message
 */
public record PeerMessageType(String name, Class<? extends PeerMessage> type) {}
