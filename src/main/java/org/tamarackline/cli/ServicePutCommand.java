package org.tamarackline.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Adds a service or replaces its definition. */
final class ServicePutCommand extends ConfigurationChangeCommand {

    private static final String PATH = "/services";

    @Argument(metaVar = "NAME", usage = "name of the service, the role of its runners", required = true)
    private String name;

    @Option(name = "--profile", metaVar = "NAME", usage = "profile of the service", required = true)
    private String profile;

    @Option(name = "--team", metaVar = "NAME", usage = "team to which its usage is charged", required = true)
    private String team;

    @Override
    int run(NodeClient client) throws Exception {
        long version = baseVersion(client.get(PATH));
        ObjectNode body =
                new ObjectMapper().createObjectNode().put("profile", profile).put("team", team);
        print(client.put("%s/%s?version=%d".formatted(PATH, NodeClient.pathSegment(name), version), body));
        return ExitCodes.SUCCESS;
    }
}
