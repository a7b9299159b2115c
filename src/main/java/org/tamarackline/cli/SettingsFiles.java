package org.tamarackline.cli;

import java.nio.file.Files;
import java.nio.file.Path;

/** Checks settings files given on the command line. */
final class SettingsFiles {

    private SettingsFiles() {}

    /**
     * Returns {@code file} if it can be read.
     *
     * @throws UsageException if it cannot be read
     */
    static Path requireReadable(Path file) throws UsageException {
        if (!Files.isRegularFile(file) || !Files.isReadable(file)) {
            throw new UsageException("File \"%s\" cannot be read; name a settings file.".formatted(file));
        }
        return file;
    }
}
