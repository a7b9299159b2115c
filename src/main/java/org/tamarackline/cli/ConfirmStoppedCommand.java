package org.tamarackline.cli;

import org.kohsuke.args4j.Argument;

/** Confirms to the cluster that the process of a node has ended. */
final class ConfirmStoppedCommand extends OperatorCommand {

    @Argument(metaVar = "NODE", usage = "identity of the stopped node, as IP:PORT", required = true)
    private String stoppedNode;

    @Override
    int run(NodeClient client) throws Exception {
        print(client.post("/nodes/%s/confirm-stopped".formatted(NodeClient.pathSegment(stoppedNode))));
        return ExitCodes.SUCCESS;
    }
}
