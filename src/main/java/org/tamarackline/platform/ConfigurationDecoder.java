package org.tamarackline.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.fleet.FleetConfiguration;
import org.tamarackline.core.fleet.JobLimits;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.fleet.ConfigurationSource;
import org.tamarackline.fleet.RecordStore;
import org.tamarackline.json.JsonNumbers;

/** Decodes the fleet configuration that operators write into the platform's store as JSON. */
final class ConfigurationDecoder implements ConfigurationSource {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CONFIGURATION_KEY = "config";
    private static final double DEFAULT_OBJECTIVE_STRETCH = 2;

    @Override
    public Optional<FleetConfiguration> decode(RecordStore.Entry entry) {
        if (!entry.key().equals(CONFIGURATION_KEY)) {
            LOGGER.atInfo().log("ignoring configuration record %s: records of its kind are not supported", entry.key());
            return Optional.empty();
        }
        Optional<JsonNode> root = Json.parse(entry.value());
        if (root.isEmpty()) {
            LOGGER.atWarning().log(
                    "the configuration is not a JSON object, or nests too deeply; keeping the previous configuration");
            return Optional.empty();
        }
        try {
            return Optional.of(decode(root.get()));
        } catch (RejectedEntryException rejected) {
            LOGGER.atWarning().log(
                    "the configuration is not valid: %s; keeping the previous configuration", rejected.getMessage());
            return Optional.empty();
        }
    }

    private static FleetConfiguration decode(JsonNode root) throws RejectedEntryException {
        if (!root.path("routes").isArray()) {
            throw new RejectedEntryException("routes is missing or not an array");
        }
        long version = JsonNumbers.whole(root.path("version"), 1, JsonNumbers.MAX_EXACT)
                .orElseThrow(() -> new RejectedEntryException("version is not a positive whole number"));
        List<QueueDefinition> queues = new ArrayList<>();
        for (JsonNode route : root.path("routes")) {
            try {
                queues.add(decodeQueue(route));
            } catch (RejectedEntryException rejected) {
                // The other queues of this version must come into force.
                LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "skipping a route of configuration %d: %s", version, rejected.getMessage());
            }
        }
        return new FleetConfiguration(version, queues);
    }

    /** Decodes a queue, which the platform calls a route. */
    private static QueueDefinition decodeQueue(JsonNode route) throws RejectedEntryException {
        if (!route.isObject()) {
            throw new RejectedEntryException("it is not an object");
        }
        return new QueueDefinition(
                text(route, "name"),
                text(route, "host"),
                text(route, "prefix"),
                text(route, "service"),
                (int) number(route, "priority", Integer.MAX_VALUE, QueueDefinition.LOWEST_PRIORITY),
                (int) Math.max(1, number(route, "maxAttempts", Integer.MAX_VALUE, 1)),
                stretch(route),
                number(route, "targetLatencyMs", JobLimits.MAX_INTERVAL_MS, 0),
                !route.path("advice").isMissingNode());
    }

    private static String text(JsonNode route, String field) throws RejectedEntryException {
        JsonNode value = route.path(field);
        if (!value.isTextual() && !value.isMissingNode()) {
            throw new RejectedEntryException(field + " is not a text");
        }
        return value.asText("");
    }

    private static long number(JsonNode route, String field, long max, long ifAbsent) throws RejectedEntryException {
        JsonNode value = route.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return ifAbsent;
        }
        return JsonNumbers.truncated(value, 0, max)
                .orElseThrow(() -> new RejectedEntryException("%s is not a number from 0 to %d".formatted(field, max)));
    }

    private static double stretch(JsonNode route) throws RejectedEntryException {
        JsonNode value = route.path("stretch");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_OBJECTIVE_STRETCH;
        }
        // False for values that are not finite.
        if (!value.isNumber() || !(value.doubleValue() >= 0 && value.doubleValue() <= Integer.MAX_VALUE)) {
            throw new RejectedEntryException("stretch is not a number within bounds");
        }
        return value.doubleValue();
    }
}
