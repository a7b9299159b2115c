package org.tamarackline.cli;

/** Prints what a node answers at one path. */
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
