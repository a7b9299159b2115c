package org.tamarackline.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/** One unit of the stream between two nodes. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "frame")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Frame.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Frame.Challenge.class, name = "challenge"),
    @JsonSubTypes.Type(value = Frame.Proof.class, name = "proof"),
    @JsonSubTypes.Type(value = Frame.Welcome.class, name = "welcome"),
    @JsonSubTypes.Type(value = Frame.Request.class, name = "request"),
    @JsonSubTypes.Type(value = Frame.Response.class, name = "answer"),
    @JsonSubTypes.Type(value = Frame.Failure.class, name = "failure"),
})
sealed interface Frame {

    /** Opens the handshake. */
    record Hello(int protocol, NodeId node, Incarnation incarnation, String nonce) implements Frame {}

    /** Answers {@link Hello} with the server's identity, nonce and proof. */
    record Challenge(int protocol, NodeId node, Incarnation incarnation, String nonce, String proof) implements Frame {}

    /** The client's proof. */
    record Proof(String proof) implements Frame {}

    /** Ends the handshake; requests may follow. */
    record Welcome() implements Frame {}

    /** A request; the id is unique in its connection and greater than {@link Failure#CONNECTION}. */
    record Request(long id, JsonNode body) implements Frame {}

    /** The answer to the request with the same id. */
    record Response(long id, JsonNode body) implements Frame {}

    /** The request could not be handled, or the connection ends if the id is {@link #CONNECTION}. */
    record Failure(long id, FailureCode code, String detail) implements Frame {

        /** The id that concerns the connection and not one request. */
        static final long CONNECTION = 0;
    }

    /** Codes of {@link Failure}. */
    enum FailureCode {
        /** The frame was too long or not valid. */
        MALFORMED,
        /** The handshake failed. */
        HANDSHAKE,
        /** The type or content of the request is not known here. */
        UNKNOWN_REQUEST,
        /** Too many connections or calls are in progress. */
        OVERLOADED,
        /** The request failed for a reason that is logged at the answering node. */
        INTERNAL
    }
}
