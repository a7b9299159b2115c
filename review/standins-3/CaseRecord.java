import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a case: one line for each event, with the time in milliseconds since the case began. */
final class CaseRecord implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    CaseRecord(Path path) {
        try {
            file = new PrintWriter(Files.newBufferedWriter(path), true);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the time since the case began, in milliseconds. */
    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void write(String event) {
        file.printf("%7d %s%n", nowMs(), event);
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
