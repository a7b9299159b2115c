package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.fleet.ConfigurationSource;
import org.tamarackline.fleet.RecordStore;

/** Decodes the fleet configuration that operators write into the platform's store as JSON. */
final class ConfigurationDecoder implements ConfigurationSource {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CONFIGURATION_KEY = "config";
    private static final int LOWEST_PRIORITY = 9;
    private static final double DEFAULT_OBJECTIVE_STRETCH = 2;

    @Override
    public Optional<FleetConfiguration> decode(RecordStore.Entry entry) {
        if (!entry.key().equals(CONFIGURATION_KEY)) {
            LOGGER.atInfo().log("ignoring configuration record %s: records of its kind are not supported", entry.key());
            return Optional.empty();
        }
        Optional<JsonNode> root = Json.parse(entry.value());
        if (root.isEmpty()) {
            LOGGER.atWarning().log("the configuration is not a JSON object; keeping the previous configuration");
            return Optional.empty();
        }
        List<QueueDefinition> queues = new ArrayList<>();
        for (JsonNode route : root.get().path("routes")) {
            queues.add(decodeQueue(route));
        }
        return Optional.of(new FleetConfiguration(root.get().path("version").asLong(), queues));
    }

    /** Decodes a queue, which the platform calls a route. */
    private static QueueDefinition decodeQueue(JsonNode route) {
        return new QueueDefinition(
                route.path("name").asText(""),
                route.path("host").asText(""),
                route.path("prefix").asText(""),
                route.path("service").asText(""),
                route.path("priority").asInt(LOWEST_PRIORITY),
                Math.max(1, route.path("maxAttempts").asInt(1)),
                route.path("stretch").asDouble(DEFAULT_OBJECTIVE_STRETCH),
                route.path("targetLatencyMs").asLong(0),
                !route.path("advice").isMissingNode());
    }
}
