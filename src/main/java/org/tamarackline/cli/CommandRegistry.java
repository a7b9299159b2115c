package org.tamarackline.cli;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.tamarackline.load.DemoCommand;
import org.tamarackline.load.LoadCommand;
import org.tamarackline.load.LocalClusterCommand;
import org.tamarackline.standin.platform.StandinPlatformCommand;
import org.tamarackline.standin.upstream.StandinUpstreamCommand;
import org.tamarackline.standin.worker.StandinWorkerCommand;

/** All commands of the binary, in the order in which the help text lists them. */
final class CommandRegistry {

    /**
     * A command and its entry in the help text.
     *
     * @param name words after {@code tamarackline} that select the command
     * @param summary what the command does
     * @param factory creates the command with default values for its options
     */
    record CommandDescriptor(String name, String summary, Supplier<Command> factory) {}

    private static final List<CommandDescriptor> COMMANDS = List.of(
            new CommandDescriptor("entry", "Runs an entry node", EntryCommand::new),
            new CommandDescriptor("serve", "Runs a fleet node on the users' platform", ServeCommand::new),
            new CommandDescriptor(
                    "rehearse",
                    "Runs a fleet node with stand-ins once, to create a class archive",
                    RehearseCommand::new),
            new CommandDescriptor(
                    "check-config", "Checks a settings file and lists all violations", CheckConfigCommand::new),
            new CommandDescriptor("profile list", "Lists the profiles in force", () -> new GetCommand("/profiles")),
            new CommandDescriptor("profile put", "Adds or edits a profile", ProfilePutCommand::new),
            new CommandDescriptor(
                    "profile retire", "Retires a profile that no service uses", () -> new RetireCommand("/profiles")),
            new CommandDescriptor("team list", "Lists the teams and their quotas", () -> new GetCommand("/teams")),
            new CommandDescriptor("team put", "Adds a team or replaces its quota", TeamPutCommand::new),
            new CommandDescriptor(
                    "team retire", "Retires a team that has no service", () -> new RetireCommand("/teams")),
            new CommandDescriptor(
                    "service list", "Lists the services and their profiles", () -> new GetCommand("/services")),
            new CommandDescriptor("service put", "Adds a service or replaces its definition", ServicePutCommand::new),
            new CommandDescriptor("service retire", "Retires a service", () -> new RetireCommand("/services")),
            new CommandDescriptor("vm list", "Lists the VMs", () -> new GetCommand("/vms")),
            new CommandDescriptor("vm out", "Takes a VM out of service", () -> new VmInServiceCommand(false)),
            new CommandDescriptor("vm in", "Takes a VM back into service", () -> new VmInServiceCommand(true)),
            new CommandDescriptor(
                    "node confirm-stopped", "Confirms that a node's process has ended", ConfirmStoppedCommand::new),
            new CommandDescriptor("usage", "Prints the usage of teams", UsageCommand::new),
            new CommandDescriptor("state", "Prints the state of a node", () -> new GetCommand("/state")),
            new CommandDescriptor(
                    "trace", "Prints the log lines about a job on the users' platform", TraceCommand::new),
            new CommandDescriptor("losses", "Prints a breakdown of the time of jobs from logs", LossesCommand::new),
            new CommandDescriptor("load", "Sends open-loop load to nodes and reports latencies", LoadCommand::new),
            new CommandDescriptor("demo", "Demonstrates a local installation with stand-ins", DemoCommand::new),
            new CommandDescriptor(
                    "local-cluster",
                    "Runs a local installation and reports its resource usage",
                    LocalClusterCommand::new),
            new CommandDescriptor("standin-platform", "Runs a stand-in of the platform", StandinPlatformCommand::new),
            new CommandDescriptor("standin-worker", "Runs a stand-in of a worker", StandinWorkerCommand::new),
            new CommandDescriptor("standin-upstream", "Runs a stand-in of an upstream", StandinUpstreamCommand::new));

    private CommandRegistry() {}

    static List<CommandDescriptor> commands() {
        return COMMANDS;
    }

    /** Returns the command with the longest name that is a prefix of {@code words}. */
    static Optional<CommandDescriptor> find(List<String> words) {
        Optional<CommandDescriptor> found = Optional.empty();
        for (CommandDescriptor descriptor : COMMANDS) {
            List<String> name = List.of(descriptor.name().split(" ", -1));
            boolean isLonger = found.isEmpty() || name.size() > wordCount(found.get());
            if (isLonger && startsWith(words, name)) {
                found = Optional.of(descriptor);
            }
        }
        return found;
    }

    /** Returns the number of words in the name of {@code descriptor}. */
    static int wordCount(CommandDescriptor descriptor) {
        return descriptor.name().split(" ", -1).length;
    }

    private static boolean startsWith(List<String> words, List<String> prefix) {
        return words.size() >= prefix.size() && words.subList(0, prefix.size()).equals(prefix);
    }
}
