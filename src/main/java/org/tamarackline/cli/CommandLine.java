package org.tamarackline.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.tamarackline.settings.SettingsException;

/** Parses the command line, runs the command that it names and converts exceptions to exit codes. */
final class CommandLine {

    private static final String HELP = "--help";
    private static final int HELP_WIDTH_CHARACTERS = 100;

    private final PrintStream output;
    private final PrintStream errors;

    CommandLine(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /** Runs the command named by {@code arguments} and returns the exit code. */
    int run(List<String> arguments) {
        if (arguments.isEmpty()) {
            printOverview(errors);
            return ExitCodes.USAGE_ERROR;
        }
        String first = arguments.getFirst();
        if (first.equals(HELP) || first.equals("-h")) {
            printOverview(output);
            return ExitCodes.SUCCESS;
        }
        if (first.equals("--version")) {
            output.println("tamarackline " + Versions.current());
            return ExitCodes.SUCCESS;
        }
        Optional<CommandRegistry.CommandDescriptor> descriptor = CommandRegistry.find(arguments);
        if (descriptor.isEmpty()) {
            errors.printf("Unknown command \"%s\"; \"tamarackline --help\" lists the commands.%n", first);
            return ExitCodes.USAGE_ERROR;
        }
        int nameLength = CommandRegistry.wordCount(descriptor.get());
        return runCommand(descriptor.get(), arguments.subList(nameLength, arguments.size()));
    }

    private int runCommand(CommandRegistry.CommandDescriptor descriptor, List<String> arguments) {
        Command command = descriptor.factory().get();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(HELP_WIDTH_CHARACTERS));
        if (arguments.contains(HELP) || arguments.contains("-h")) {
            printCommandHelp(descriptor, parser);
            return ExitCodes.SUCCESS;
        }
        try {
            parser.parseArgument(arguments);
            return command.run();
        } catch (CmdLineException | UsageException e) {
            errors.println(e.getMessage());
            errors.printf("\"tamarackline %s --help\" shows the options.%n", descriptor.name());
            return ExitCodes.USAGE_ERROR;
        } catch (SettingsException e) {
            errors.println(e.getMessage());
            return ExitCodes.USAGE_ERROR;
        } catch (Exception e) {
            String reason = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            errors.println("tamarackline %s: %s".formatted(descriptor.name(), reason));
            return ExitCodes.FAILURE;
        }
    }

    private void printOverview(PrintStream stream) {
        stream.println("Usage: tamarackline COMMAND [OPTIONS]");
        stream.println();
        stream.println("Commands:");
        for (CommandRegistry.CommandDescriptor descriptor : CommandRegistry.commands()) {
            stream.printf("  %-24s %s%n", descriptor.name(), descriptor.summary());
        }
        stream.println();
        stream.println("\"tamarackline COMMAND --help\" shows the options of a command, --version the version.");
        printExitCodes(stream);
    }

    private void printCommandHelp(CommandRegistry.CommandDescriptor descriptor, CmdLineParser parser) {
        String options = parser.printExample(org.kohsuke.args4j.OptionHandlerFilter.REQUIRED);
        output.printf("Usage: tamarackline %s%s [OPTIONS]%n%n", descriptor.name(), options);
        output.println(descriptor.summary() + ".");
        output.println();
        parser.printUsage(output);
        output.println();
        printExitCodes(output);
    }

    private static void printExitCodes(PrintStream stream) {
        stream.println("Exit codes: 0 done, 1 failed or refused, 2 wrong usage or settings.");
    }
}
