package org.tamarackline.cli;

import java.nio.file.Path;

import org.kohsuke.args4j.Argument;
import org.tamarackline.settings.EntrySettingsParser;

/** Validates a settings file without starting a node. */
final class CheckConfigCommand implements Command {

    @Argument(metaVar = "FILE", usage = "settings file of an entry node", required = true)
    private Path file;

    @Override
    public int run() throws Exception {
        EntrySettingsParser.read(SettingsFiles.requireReadable(file));
        System.out.println(file + ": the settings are valid");
        return ExitCodes.SUCCESS;
    }
}
