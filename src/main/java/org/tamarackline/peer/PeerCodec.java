package org.tamarackline.peer;

import java.io.IOException;
import java.util.Collection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes frames and messages as MessagePack, and decodes them. */
public final class PeerCodec {

    /** Maximum length of a frame in bytes, without its length prefix. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private final ObjectMapper mapper;

    /** Creates a codec for the given types and those that {@link PeerMessage} declares. */
    public PeerCodec(Collection<PeerMessageType> types) {
        mapper = new ObjectMapper(new MessagePackFactory());
        mapper.registerModule(new Jdk8Module());
        // Nodes of two releases exchange messages during an upgrade.
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        for (PeerMessageType type : types) {
            mapper.registerSubtypes(new NamedType(type.type(), type.name()));
        }
    }

    byte[] encode(Frame frame) throws MalformedFrameException {
        byte[] bytes;
        try {
            bytes = mapper.writerFor(Frame.class).writeValueAsBytes(frame);
        } catch (JsonProcessingException e) {
            throw new MalformedFrameException("frame cannot be encoded", e);
        }
        if (bytes.length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException(
                    "frame of %d bytes exceeds the limit of %d".formatted(bytes.length, MAX_FRAME_BYTES), null);
        }
        return bytes;
    }

    Frame decode(byte[] bytes) throws MalformedFrameException {
        try {
            Frame frame = mapper.readValue(bytes, Frame.class);
            if (frame == null) {
                throw new MalformedFrameException("frame is empty", null);
            }
            return frame;
        } catch (MalformedFrameException e) {
            throw e;
        } catch (IOException | RuntimeException e) {
            throw new MalformedFrameException("frame of %d bytes cannot be decoded".formatted(bytes.length), e);
        }
    }

    JsonNode toBody(PeerMessage message) throws MalformedFrameException {
        try {
            return mapper.readTree(mapper.writerFor(PeerMessage.class).writeValueAsBytes(message));
        } catch (IOException e) {
            throw new MalformedFrameException(
                    "message %s cannot be encoded".formatted(message.getClass().getSimpleName()), e);
        }
    }

    PeerMessage fromBody(JsonNode body) throws MalformedFrameException {
        try {
            PeerMessage message = mapper.treeToValue(body, PeerMessage.class);
            if (message == null) {
                throw new MalformedFrameException("message is empty", null);
            }
            return message;
        } catch (JsonProcessingException | RuntimeException e) {
            throw new MalformedFrameException("message is of an unknown type or not valid", e);
        }
    }
}
