package org.tamarackline.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A request or response between two nodes. Subsystems declare theirs as records of one of the permitted interfaces. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Ok.class, name = "ok"),
    @JsonSubTypes.Type(value = PeerMessage.Refused.class, name = "refused"),
})
public sealed interface PeerMessage
        permits PeerMessage.Ok, PeerMessage.Refused, ClusterMessage, RoutingMessage, JobMessage {

    /** The request was executed and returns no content. */
    record Ok() implements PeerMessage {}

    /**
     * The request was not executed.
     *
     * @param code code of the failure; does not change between releases
     * @param detail description of the failure and how to correct it
     */
    record Refused(String code, String detail) implements PeerMessage {}
}
