package org.tamarackline.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Option;

/** An {@link OperatorCommand} that changes the configuration, conditional on its version. */
abstract class ConfigurationChangeCommand extends OperatorCommand {

    @Option(
            name = "--if-version",
            metaVar = "N",
            usage = "change only if the configuration is at this version; default: the current version of the node")
    private Long expectedVersion;

    /** Returns the version on which the change is based: that of the option, else that of the node's response. */
    final long baseVersion(JsonNode currentEntries) {
        return expectedVersion == null ? currentEntries.path("version").asLong() : expectedVersion;
    }
}
