package org.tamarackline.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.ExplicitBooleanOptionHandler;
import org.tamarackline.core.config.ServiceClass;

/** Adds a profile or edits an existing one, in which fields without an option keep their values. */
final class ProfilePutCommand extends ConfigurationChangeCommand {

    private static final int DEFAULT_PRIORITY = 300;
    private static final int DEFAULT_SHARE = 100;
    private static final int DEFAULT_WEIGHT = 30;

    @Argument(metaVar = "NAME", usage = "name of the profile", required = true)
    private String name;

    @Option(name = "--class", metaVar = "CLASS", usage = "service class; required for a new profile")
    private ServiceClass serviceClass;

    @Option(name = "--latency-bound-ms", metaVar = "N", usage = "latency bound in ms, 0 for none")
    private Long latencyBoundMs;

    @Option(name = "--priority", metaVar = "N", usage = "priority, 0 to 1000; larger values go first")
    private Integer priority;

    @Option(name = "--share", metaVar = "N", usage = "relative share of capacity under contention, 1 to 1000")
    private Integer share;

    @Option(
            name = "--checkpoint",
            metaVar = "true|false",
            usage = "whether a task may be checkpointed and evicted",
            handler = ExplicitBooleanOptionHandler.class)
    private Boolean checkpointAllowed;

    @Option(
            name = "--idempotent",
            metaVar = "true|false",
            usage = "whether requests may be retried after a failure",
            handler = ExplicitBooleanOptionHandler.class)
    private Boolean idempotent;

    @Option(name = "--rate-per-hour", metaVar = "N", usage = "tasks to finish per hour, 0 for no steady rate")
    private Long ratePerHour;

    @Option(name = "--finish-within-ms", metaVar = "N", usage = "time to finish a task in ms, 0 for no limit")
    private Long finishWithinMs;

    @Option(name = "--tail-weight", metaVar = "N", usage = "weight of tail latency in placement, 0 to 100")
    private Integer tailWeight;

    @Option(name = "--throughput-weight", metaVar = "N", usage = "weight of throughput in placement, 0 to 100")
    private Integer throughputWeight;

    @Option(name = "--eviction-weight", metaVar = "N", usage = "weight of avoided evictions in placement, 0 to 100")
    private Integer evictionWeight;

    @Override
    int run(NodeClient client) throws Exception {
        JsonNode currentProfiles = client.get("/profiles");
        ObjectNode profile = existingOrNewProfile(currentProfiles);
        applyOptions(profile);
        String path = "/profiles/%s?version=%d".formatted(NodeClient.pathSegment(name), baseVersion(currentProfiles));
        print(client.put(path, profile));
        return ExitCodes.SUCCESS;
    }

    private ObjectNode existingOrNewProfile(JsonNode currentProfiles) throws UsageException {
        for (JsonNode profile : currentProfiles.path("profiles")) {
            if (profile.path("name").asText().equals(name)) {
                ObjectNode copy = profile.deepCopy();
                copy.remove("name");
                return copy;
            }
        }
        if (serviceClass == null) {
            throw new UsageException("\"%s\" is a new profile; specify its service class with --class".formatted(name));
        }
        return defaultProfile();
    }

    private static ObjectNode defaultProfile() {
        return new ObjectMapper()
                .createObjectNode()
                .put("latencyBoundMs", 0)
                .put("priority", DEFAULT_PRIORITY)
                .put("share", DEFAULT_SHARE)
                .put("checkpointAllowed", false)
                .put("idempotent", false)
                .put("ratePerHour", 0)
                .put("finishWithinMs", 0)
                .put("tailWeight", DEFAULT_WEIGHT)
                .put("throughputWeight", DEFAULT_WEIGHT)
                .put("evictionWeight", DEFAULT_WEIGHT);
    }

    private void applyOptions(ObjectNode profile) {
        set(profile, "serviceClass", serviceClass);
        set(profile, "latencyBoundMs", latencyBoundMs);
        set(profile, "priority", priority);
        set(profile, "share", share);
        set(profile, "checkpointAllowed", checkpointAllowed);
        set(profile, "idempotent", idempotent);
        set(profile, "ratePerHour", ratePerHour);
        set(profile, "finishWithinMs", finishWithinMs);
        set(profile, "tailWeight", tailWeight);
        set(profile, "throughputWeight", throughputWeight);
        set(profile, "evictionWeight", evictionWeight);
    }

    private static void set(ObjectNode profile, String field, Object value) {
        if (value != null) {
            profile.putPOJO(field, value);
        }
    }
}
