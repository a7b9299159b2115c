package org.tamarackline.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/** Writes queued frames of one connection on a thread of its own, so that a peer that does not read blocks no caller. */
final class FrameWriter {

    /** Ends the queue; no encoded frame is empty. */
    private static final byte[] END_OF_QUEUE = {};

    private final FrameChannel channel;
    private final Consumer<IOException> onFailure;
    private final BlockingQueue<byte[]> queue;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Starts a writer.
     *
     * @param capacity frames that may wait
     * @param onFailure told once when the connection broke
     */
    FrameWriter(FrameChannel channel, int capacity, Consumer<IOException> onFailure) {
        this.channel = channel;
        this.onFailure = onFailure;
        queue = new ArrayBlockingQueue<>(capacity);
        thread = Thread.ofVirtual().name("peer-write").start(this::writeAll);
    }

    /** Queues an encoded frame; returns false if too many frames wait. */
    boolean offer(byte[] frame) {
        return queue.offer(frame);
    }

    /** Ends the writer after the frames queued so far, or after {@code timeout}. */
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
