package org.tamarackline.peer;

import java.io.IOException;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Consumer;

/** Writes queued frames of one connection on a thread of its own, so that a peer that does not read blocks no caller. */
final class FrameWriter {

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

    void close() {
        closed = true;
        thread.interrupt();
    }

    private void writeAll() {
        try {
            while (!closed) {
                channel.writeEncoded(queue.take());
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
