package org.tamarackline.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a separate thread, so that a slow reader of the output never blocks the threads that log.
 *
 * <p>Lines are dropped and counted while the queue is full; the count is written after the next line.
 */
public final class LineSink {

    private static final int MAX_QUEUED_LINES = 4_096;

    private final OutputStream output;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    /** Lines that are queued or being written. */
    private final AtomicLong unwrittenLines = new AtomicLong();

    private final Thread writer;

    /** Creates a sink and starts its writer thread. */
    public LineSink(OutputStream output) {
        this.output = output;
        this.writer = Thread.ofPlatform().name("log").daemon().start(this::writeQueuedLines);
    }

    /** Queues a line without its line terminator; drops it if the queue is full. */
    public void write(byte[] line) {
        unwrittenLines.incrementAndGet();
        if (!queue.offer(line)) {
            unwrittenLines.decrementAndGet();
            droppedLines.incrementAndGet();
        }
    }

    /** Waits until all lines are written, for about 100 ms at most. */
    public void flush() {
        try {
            for (int i = 0; i < 50 && unwrittenLines.get() > 0; i++) {
                Thread.sleep(2);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeQueuedLines() {
        try {
            while (true) {
                byte[] line = queue.take();
                output.write(line);
                output.write('\n');
                if (queue.isEmpty()) {
                    output.flush();
                }
                long droppedCount = droppedLines.getAndSet(0);
                if (droppedCount > 0) {
                    output.write("{\"event\":\"log-lines-dropped\",\"count\":%d}\n"
                            .formatted(droppedCount)
                            .getBytes(StandardCharsets.UTF_8));
                }
                unwrittenLines.decrementAndGet();
            }
        } catch (InterruptedException | IOException ended) {
            // The failure cannot be logged, because the output of the log itself is broken.
            writer.interrupt();
        }
    }
}
