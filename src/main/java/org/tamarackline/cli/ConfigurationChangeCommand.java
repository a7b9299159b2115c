package org.tamarackline.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/** A command that changes the configuration. */
abstract class ConfigurationChangeCommand extends OperatorCommand {

    @Option(
            name = "--if-version",
            metaVar = "N",
            usage = "change only if the configuration is at this version; default: the version that the node names")
    private Long expectedVersion;

    /** Returns the version that the change is based on, given what the node answered to a listing. */
    final long baseVersion(JsonNode currentEntries) {
        return expectedVersion == null ? currentEntries.path("version").asLong() : expectedVersion;
    }
}
