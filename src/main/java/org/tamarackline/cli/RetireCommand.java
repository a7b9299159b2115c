package org.tamarackline.cli;

import org.kohsuke.args4j.Argument;

/** Removes a profile, a team or a service from the configuration. */
final class RetireCommand extends ConfigurationChangeCommand {

    private final String path;

    @Argument(metaVar = "NAME", usage = "name of the entry to retire", required = true)
    private String name;

    RetireCommand(String path) {
        this.path = path;
    }

    @Override
    int run(NodeClient client) throws Exception {
        long version = baseVersion(client.get(path));
        print(client.delete("%s/%s?version=%d".formatted(path, NodeClient.pathSegment(name), version)));
        return ExitCodes.SUCCESS;
    }
}
