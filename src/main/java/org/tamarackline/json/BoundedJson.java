package org.tamarackline.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Creates parsers of JSON that refuse documents which nest too deeply or contain too long numbers. */
public final class BoundedJson {

    /** No document of the platform or of this project nests deeper than 8 levels; some code handles trees recursively. */
    private static final int MAX_NESTING_DEPTH = 32;

    /** A 64-bit integer has up to 20 characters, and a decimal number without loss up to 25. */
    private static final int MAX_NUMBER_LENGTH = 64;

    private BoundedJson() {}

    /** Returns a new mapper, which also refuses anything that follows the document. */
    public static ObjectMapper newMapper() {
        StreamReadConstraints constraints = StreamReadConstraints.builder()
                .maxNestingDepth(MAX_NESTING_DEPTH)
                .maxNumberLength(MAX_NUMBER_LENGTH)
                .build();
        JsonFactory factory =
                JsonFactory.builder().streamReadConstraints(constraints).build();
        return new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }
}
