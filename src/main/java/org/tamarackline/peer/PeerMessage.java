package org.tamarackline.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A message between two nodes. Each subsystem declares its messages as records of one of the permitted interfaces. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Ok.class, name = "ok"),
    @JsonSubTypes.Type(value = PeerMessage.Refused.class, name = "refused"),
})
public sealed interface PeerMessage
        permits PeerMessage.Ok, PeerMessage.Refused, ClusterMessage, RoutingMessage, JobMessage {

    /** The request was carried out and has no further answer. */
    record Ok() implements PeerMessage {}

    /**
     * The request was not carried out.
     *
     * @param code stable code of the failure
     * @param detail what was wrong and how to correct it
     */
    record Refused(String code, String detail) implements PeerMessage {}
}
