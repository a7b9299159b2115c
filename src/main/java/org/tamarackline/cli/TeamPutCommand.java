package org.tamarackline.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Adds a team or replaces its quota. */
final class TeamPutCommand extends ConfigurationChangeCommand {

    private static final String PATH = "/teams";

    @Argument(metaVar = "NAME", usage = "name of the team", required = true)
    private String name;

    @Option(
            name = "--processor-millis",
            metaVar = "N",
            usage = "guaranteed thousandths of a processor",
            required = true)
    private long processorMillis;

    @Option(name = "--memory-mb", metaVar = "N", usage = "guaranteed memory in MB", required = true)
    private long memoryMb;

    @Option(name = "--accelerators", metaVar = "N", usage = "guaranteed accelerators; default 0")
    private int accelerators;

    @Override
    int run(NodeClient client) throws Exception {
        long version = baseVersion(client.get(PATH));
        ObjectNode body = new ObjectMapper().createObjectNode();
        body.putObject("guaranteed")
                .put("processorMillis", processorMillis)
                .put("memoryMb", memoryMb)
                .put("accelerators", accelerators);
        print(client.put("%s/%s?version=%d".formatted(PATH, NodeClient.pathSegment(name), version), body));
        return ExitCodes.SUCCESS;
    }
}
