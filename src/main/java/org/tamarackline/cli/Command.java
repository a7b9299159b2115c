package org.tamarackline.cli;

/**
 * One command of the binary. Its options and arguments are fields with the annotations of args4j, which are set before
 * {@link #run()}.
 */
@FunctionalInterface
public interface Command {

    /**
     * Runs the command.
     *
     * @return exit code of the process, one of {@link ExitCodes}
     * @throws UsageException if the options do not fit together
     * @throws Exception if the command failed; its message is shown to the user
     */
    int run() throws Exception;
}
