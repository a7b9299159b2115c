package org.tamarackline.load;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;

import org.tamarackline.cli.UsageException;

/** Finds the {@code tamarackline} binary, from which the tools start further processes. */
final class BinaryLocator {

    private BinaryLocator() {}

    /**
     * Returns the binary from which this process was started.
     *
     * @throws UsageException if the process was not started from a binary, for example from a directory of classes
     */
    static Path current() throws UsageException {
        CodeSource source = BinaryLocator.class.getProtectionDomain().getCodeSource();
        try {
            Path path = Path.of(source.getLocation().toURI());
            if (Files.isRegularFile(path) && Files.isExecutable(path)) {
                return path;
            }
        } catch (URISyntaxException | IllegalArgumentException notAFile) {
            throw new UsageException("cannot determine the binary of this process; specify it with --binary");
        }
        throw new UsageException("this process was not started from a binary; specify it with --binary");
    }
}
