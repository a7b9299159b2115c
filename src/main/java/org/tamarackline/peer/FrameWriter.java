package org.tamarackline.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/**
 * Writes the queued frames of a connection on a separate thread, so that a peer that does not read blocks no caller.
 */
final class FrameWriter {

    /** Marks the end of the queue; an encoded frame is never empty. */
    private static final byte[] END_OF_QUEUE = {};

    private final FrameChannel channel;
    private final Consumer<IOException> onFailure;
    private final BlockingQueue<byte[]> queue;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Starts a writer.
     *
     * @param capacity maximum number of queued frames
     * @param onFailure called once if a write fails
     */
    FrameWriter(FrameChannel channel, int capacity, Consumer<IOException> onFailure) {
        this.channel = channel;
        this.onFailure = onFailure;
        queue = new ArrayBlockingQueue<>(capacity);
        thread = Thread.ofVirtual().name("peer-write").start(this::writeAll);
    }

    /** Queues an encoded frame; returns false if the queue is full. */
    boolean offer(byte[] frame) {
        return queue.offer(frame);
    }

    /** Writes the frames queued so far and closes the writer, after {@code timeout} at the latest. */
    void finish(Duration timeout) {
        try {
            if (queue.offer(END_OF_QUEUE)) {
                thread.join(timeout);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    void close() {
        closed = true;
        thread.interrupt();
    }

    private void writeAll() {
        try {
            byte[] frame = queue.take();
            while (!closed && frame.length > 0) {
                channel.writeEncoded(frame);
                frame = queue.take();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            if (!closed) {
                onFailure.accept(e);
            }
        }
    }
}
