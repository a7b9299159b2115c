package org.tamarackline.cli;

import java.nio.file.Path;
import java.util.Map;

import org.kohsuke.args4j.Option;
import org.tamarackline.entry.EntryModules;
import org.tamarackline.entry.EntryNode;
import org.tamarackline.logging.JsonLogging;
import org.tamarackline.logging.LogField;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.EntrySettingsParser;

/** Runs an entry node until the process receives SIGTERM or SIGINT, then drains it. */
final class EntryCommand implements Command {

    @Option(name = "--config", metaVar = "FILE", usage = "settings file of the node", required = true)
    private Path file;

    @Override
    public int run() throws Exception {
        EntrySettings settings = EntrySettingsParser.read(SettingsFiles.requireReadable(file));
        JsonLogging.install(System.err, Map.of(LogField.NODE, settings.node().value()));
        EntryNode node = EntryNode.start(settings, EntryModules.standard());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndExit(node), "drain"));
        node.awaitStopped();
        return ExitCodes.SUCCESS;
    }

    /** Runs as a shutdown hook. Halts with an explicit exit code, because the JVM would return that of the signal. */
    private static void drainAndExit(EntryNode node) {
        int exitCode = node.drain() ? ExitCodes.SUCCESS : ExitCodes.FAILURE;
        Runtime.getRuntime().halt(exitCode);
    }
}
