package org.tamarackline.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;

/** Takes a VM out of service or back into service. */
final class VmInServiceCommand extends ConfigurationChangeCommand {

    private static final String PATH = "/vms";

    private final boolean inService;

    @Argument(metaVar = "VM", usage = "identifier of the VM in the platform's list", required = true)
    private String vm;

    VmInServiceCommand(boolean inService) {
        this.inService = inService;
    }

    @Override
    int run(NodeClient client) throws Exception {
        long version = baseVersion(client.get(PATH));
        ObjectNode body = new ObjectMapper()
                .createObjectNode()
                .put("inService", inService)
                .put("version", version);
        print(client.put("%s/%s".formatted(PATH, NodeClient.pathSegment(vm)), body));
        return ExitCodes.SUCCESS;
    }
}
