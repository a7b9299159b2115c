package org.tamarackline.standin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Static helpers for the JSON of the stand-ins. */
public final class StandinJson {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private StandinJson() {}

    /** Returns the mapper, which must not be reconfigured. */
    public static JsonMapper mapper() {
        return MAPPER;
    }
}
