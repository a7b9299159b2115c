package org.tamarackline.logging;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a Flogger backend that does not write JSON lines, and against missing fields. */
class JsonLoggingTest {

    @Test
    void floggerWritesJsonLinesWithFields() throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonLogging.install(output, Map.of(LogField.NODE, "10.0.0.5:7400"));
        FluentLogger logger = FluentLogger.forEnclosingClass();

        LogContexts.with(LogField.TASK, "job-1/0", () -> {
            logger.atInfo().log("task %s", "started");
            return null;
        });
        logger.atInfo().log("second");

        String[] lines = output.toString(StandardCharsets.UTF_8).split("\n", -1);
        JsonNode first = new ObjectMapper().readTree(lines[0]);
        assertThat(first.path("message").asText()).isEqualTo("task started");
        assertThat(first.path("node").asText()).isEqualTo("10.0.0.5:7400");
        assertThat(first.path("task").asText()).isEqualTo("job-1/0");
        assertThat(new ObjectMapper().readTree(lines[1]).has("task")).isFalse();
    }
}
