package org.tamarackline.logging;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the lines of a process are written before it ends. */
class LineSinkTest {

    /** Output that takes a while for each line. */
    private static final class SlowOutput extends OutputStream {

        private final List<String> written = new CopyOnWriteArrayList<>();

        @Override
        public void write(int character) {
            written.add(Character.toString(character));
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            written.add(new String(bytes, offset, length, StandardCharsets.UTF_8));
        }
    }

    /** Guards against the loss of the last line, which the writer has taken from the queue but not written yet. */
    @Test
    void flushWaitsForTheLineThatIsBeingWritten() throws InterruptedException {
        SlowOutput output = new SlowOutput();
        LineSink sink = new LineSink(output);
        sink.write("last line".getBytes(StandardCharsets.UTF_8));
        // The writer takes the line meanwhile.
        Thread.sleep(5);
        sink.flush();
        List<String> written = List.copyOf(output.written);
        assertThat(written).containsExactly("last line", "\n");
    }
}
