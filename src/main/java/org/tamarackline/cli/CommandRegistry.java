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

/** The commands of the binary, in the order of the help text. */
final class CommandRegistry {

    /**
     * A command and what {@code --help} says about it.
     *
     * @param name words after {@code tamarackline}
     * @param summary what the command does
     * @param factory creates the command with the defaults of its options
     */
    record Entry(String name, String summary, Supplier<Command> factory) {}

    private static final List<Entry> ENTRIES = List.of(
            new Entry("entry", "Runs an entry node", EntryCommand::new),
            new Entry("serve", "Runs a node on the users' platform", ServeCommand::new),
            new Entry("rehearse", "Runs a node beside stand-ins once, to archive its classes", RehearseCommand::new),
            new Entry("check-config", "Checks a settings file and lists all its mistakes", CheckConfigCommand::new),
            new Entry("profile list", "Lists the profiles in force", () -> new ListCommand("/profiles")),
            new Entry("profile put", "Adds or edits a profile", ProfilePutCommand::new),
            new Entry("profile retire", "Retires a profile that no service uses", () -> new RetireCommand("/profiles")),
            new Entry("team list", "Lists the teams and their quotas", () -> new ListCommand("/teams")),
            new Entry("team put", "Adds a team or replaces its quota", TeamPutCommand::new),
            new Entry("team retire", "Retires a team that has no service", () -> new RetireCommand("/teams")),
            new Entry("service list", "Lists the services and their profiles", () -> new ListCommand("/services")),
            new Entry("service put", "Adds a service or replaces its definition", ServicePutCommand::new),
            new Entry("service retire", "Retires a service", () -> new RetireCommand("/services")),
            new Entry("vm list", "Lists the VMs", () -> new ListCommand("/vms")),
            new Entry("vm out", "Takes a VM out of service", () -> new VmServiceCommand(false)),
            new Entry("vm in", "Takes a VM back into service", () -> new VmServiceCommand(true)),
            new Entry("node confirm-stopped", "Confirms that a node's process has ended", ConfirmStoppedCommand::new),
            new Entry("usage", "Prints the usage record", UsageCommand::new),
            new Entry("state", "Prints the state of a node", () -> new ListCommand("/state")),
            new Entry("trace", "Prints what logs say about a job on the users' platform", TraceCommand::new),
            new Entry("losses", "Prints from logs where the time of jobs went", LossesCommand::new),
            new Entry("load", "Sends open-loop load to nodes and reports latencies", LoadCommand::new),
            new Entry("demo", "Shows a local installation at work, with stand-ins", DemoCommand::new),
            new Entry("local-cluster", "Runs a local installation and reports what it uses", LocalClusterCommand::new),
            new Entry("standin-platform", "Runs a stand-in of the platform", StandinPlatformCommand::new),
            new Entry("standin-worker", "Runs a stand-in of a worker", StandinWorkerCommand::new),
            new Entry("standin-upstream", "Runs a stand-in of an upstream", StandinUpstreamCommand::new));

    private CommandRegistry() {}

    static List<Entry> entries() {
        return ENTRIES;
    }

    /** Returns the command whose name is the longest run of words that {@code words} starts with. */
    static Optional<Entry> find(List<String> words) {
        Optional<Entry> found = Optional.empty();
        for (Entry entry : ENTRIES) {
            List<String> name = List.of(entry.name().split(" ", -1));
            boolean longer = found.isEmpty() || name.size() > wordCount(found.get());
            if (longer && startsWith(words, name)) {
                found = Optional.of(entry);
            }
        }
        return found;
    }

    /** Returns the number of words in the name of {@code entry}. */
    static int wordCount(Entry entry) {
        return entry.name().split(" ", -1).length;
    }

    private static boolean startsWith(List<String> words, List<String> start) {
        return words.size() >= start.size() && words.subList(0, start.size()).equals(start);
    }
}
