package org.tamarackline.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.tamarackline.json.BoundedJson;

/** Parses and encodes the JSON bodies and values that are exchanged with the platform. */
final class Json {

    private static final ObjectMapper MAPPER = BoundedJson.newMapper();
    private static final JsonFactory FACTORY = MAPPER.getFactory();

    private Json() {}

    /** Writes the fields of a JSON object. */
    interface FieldWriter {
        void write(JsonGenerator json) throws IOException;
    }

    /** Returns the parsed object; empty if the bytes are not a JSON object within the bounds of {@link BoundedJson}. */
    static Optional<JsonNode> parse(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node != null && node.isObject() ? Optional.of(node) : Optional.empty();
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    /** Encodes an object with the given fields. */
    static byte[] encodeObject(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator json = FACTORY.createGenerator(bytes)) {
            json.writeStartObject();
            fields.write(json);
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException("JSON object could not be encoded", failure);
        }
        return bytes.toByteArray();
    }
}
