import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with the time in milliseconds since its start. */
final class Record implements AutoCloseable {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%7d ", nowMs());
        out.printf(Locale.ROOT, format + "%n", values);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
