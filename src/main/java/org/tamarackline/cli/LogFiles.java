package org.tamarackline.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** Reads log files given on the command line. */
final class LogFiles {

    private LogFiles() {}

    /**
     * Passes each line of a log file to {@code lineConsumer}.
     *
     * @throws UsageException if the file cannot be read or is not UTF-8 text
     */
    static void read(Path log, Consumer<String> lineConsumer) throws UsageException {
        try (Stream<String> lines = Files.lines(log)) {
            lines.forEach(lineConsumer);
        } catch (UncheckedIOException e) {
            throw unreadable(log, e.getCause());
        } catch (IOException e) {
            throw unreadable(log, e);
        }
    }

    private static UsageException unreadable(Path log, IOException cause) {
        return cause instanceof MalformedInputException
                ? new UsageException("log \"%s\" is not UTF-8 text".formatted(log))
                : new UsageException("log \"%s\" cannot be read; check the path".formatted(log));
    }
}
