package org.tamarackline.load;

import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;

import org.tamarackline.cli.UsageException;

/** Static helpers that find the binary. */
final class BinaryLocator {

    private BinaryLocator() {}

    /**
     * Returns the binary that this process was started from.
     *
     * @throws UsageException if it was started from something else, such as a directory of classes
     */
    static Path current() throws UsageException {
        CodeSource source = BinaryLocator.class.getProtectionDomain().getCodeSource();
        try {
            Path path = Path.of(source.getLocation().toURI());
            if (Files.isRegularFile(path) && Files.isExecutable(path)) {
                return path;
            }
        } catch (URISyntaxException | IllegalArgumentException notAFile) {
            throw new UsageException("name the binary with --binary, because this process does not know its own");
        }
        throw new UsageException("name the binary with --binary, because this process was not started from it");
    }
}
