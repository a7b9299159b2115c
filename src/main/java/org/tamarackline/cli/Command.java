package org.tamarackline.cli;

/**
 * A command of the {@code tamarackline} binary. Its options and arguments are fields with args4j annotations, which are
 * set before {@link #run()} is called.
 */
@FunctionalInterface
public interface Command {

    /**
     * Runs the command.
     *
     * @return exit code of the process, one of {@link ExitCodes}
     * @throws UsageException if the combination of options is not valid
     * @throws Exception if the command fails; its message is printed to the user
     */
    int run() throws Exception;
}
