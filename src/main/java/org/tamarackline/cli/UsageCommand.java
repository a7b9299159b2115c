package org.tamarackline.cli;

import org.kohsuke.args4j.Option;

/** Prints the resource usage of the teams as JSON or CSV. */
final class UsageCommand extends OperatorCommand {

    private static final String PATH = "/usage";

    @Option(name = "--csv", usage = "print CSV instead of JSON")
    private boolean csv;

    @Override
    int run(NodeClient client) throws Exception {
        if (csv) {
            System.out.print(client.getText(PATH, "text/csv"));
        } else {
            print(client.get(PATH));
        }
        return ExitCodes.SUCCESS;
    }
}
