package org.tamarackline.cli;

/** Prints the JSON document that a node returns for a fixed path. */
final class GetCommand extends OperatorCommand {

    private final String path;

    GetCommand(String path) {
        this.path = path;
    }

    @Override
    int run(NodeClient client) throws Exception {
        print(client.get(path));
        return ExitCodes.SUCCESS;
    }
}
