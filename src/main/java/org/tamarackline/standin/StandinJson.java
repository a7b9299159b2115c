package org.tamarackline.standin;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Holds the JSON mapper of the stand-ins, which ignores unknown fields. */
public final class StandinJson {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private StandinJson() {}

    /** Returns the shared mapper, which callers must not reconfigure. */
    public static JsonMapper mapper() {
        return MAPPER;
    }
}
