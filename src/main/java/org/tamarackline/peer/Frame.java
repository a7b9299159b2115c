package org.tamarackline.peer;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

/** Unit of the stream between two nodes: a step of the handshake, a request, a response or a failure. */
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

    /** Starts the handshake with the identity and nonce of the client. */
    record Hello(int protocol, NodeId node, Incarnation incarnation, String nonce) implements Frame {}

    /** Responds to {@link Hello} with the server's identity, nonce and proof. */
    record Challenge(int protocol, NodeId node, Incarnation incarnation, String nonce, String proof) implements Frame {}

    /** Responds to {@link Challenge} with the client's proof. */
    record Proof(String proof) implements Frame {}

    /** Completes the handshake; requests may follow. */
    record Welcome() implements Frame {}

    /** A request; its id is unique within the connection and greater than {@link Failure#CONNECTION}. */
    record Request(long id, JsonNode body) implements Frame {}

    /** The response to the request with the same id. */
    record Response(long id, JsonNode body) implements Frame {}

    /** The request could not be handled; if the id is {@link #CONNECTION}, the connection is closed. */
    record Failure(long id, FailureCode code, String detail) implements Frame {

        /** Id of a failure that affects the whole connection. */
        static final long CONNECTION = 0;
    }

    /** Codes of {@link Failure}. */
    enum FailureCode {
        /** The frame was too long or malformed. */
        MALFORMED,
        /** The handshake failed. */
        HANDSHAKE,
        /** The type of the request is unknown to the server, or its content is not valid. */
        UNKNOWN_REQUEST,
        /** Too many connections or calls are in progress. */
        OVERLOADED,
        /** The request failed; the server logs the cause. */
        INTERNAL
    }
}
