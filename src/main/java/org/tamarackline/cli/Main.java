package org.tamarackline.cli;

import java.util.List;

/** Entry point of the {@code tamarackline} binary. */
public final class Main {

    private Main() {}

    /** Runs the command named by the first arguments and ends the process with its exit code. */
    public static void main(String[] args) {
        int exitCode = new CommandLine(System.out, System.err).run(List.of(args));
        System.exit(exitCode);
    }
}
