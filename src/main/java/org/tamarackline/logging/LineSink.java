package org.tamarackline.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines on a thread of its own, so that a slow reader never blocks the writer of a line.
 *
 * <p>Lines that find the queue full are dropped and counted; the count is written as soon as there is room.
 */
public final class LineSink {

    private static final int MAX_QUEUED_LINES = 4_096;

    private final OutputStream output;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final Thread writer;

    /** Creates a sink and starts its thread. */
    public LineSink(OutputStream output) {
        this.output = output;
        this.writer = Thread.ofPlatform().name("log").daemon().start(this::writeQueuedLines);
    }

    /** Hands over a line without its end; drops it if the queue is full. */
    public void write(byte[] line) {
        if (!queue.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /** Waits until the lines handed over so far are written, for a short time at most. */
    public void flush() {
        try {
            for (int i = 0; i < 50 && !queue.isEmpty(); i++) {
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
            }
        } catch (InterruptedException | IOException ended) {
            // Nobody can be told: the output itself is gone.
            writer.interrupt();
        }
    }
}
