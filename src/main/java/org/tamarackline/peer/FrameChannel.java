package org.tamarackline.peer;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.time.Duration;

import org.tamarackline.core.time.MonotonicClock;

/** Reads and writes length-prefixed frames on a socket. One thread may read while another writes. */
final class FrameChannel implements Closeable {

    private static final int PREFIX_BYTES = 4;
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Socket socket;
    private final PeerCodec codec;
    private final PeerTraffic traffic;
    private final MonotonicClock clock;
    private final DataInputStream input;
    private final OutputStream output;

    FrameChannel(Socket socket, PeerCodec codec, PeerTraffic traffic, MonotonicClock clock) throws IOException {
        this.socket = socket;
        this.codec = codec;
        this.traffic = traffic;
        this.clock = clock;
        socket.setTcpNoDelay(true);
        input = new DataInputStream(new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES));
        output = socket.getOutputStream();
    }

    /** Reads one frame, which must arrive completely within {@code timeout}. */
    Frame read(Duration timeout) throws IOException {
        long deadlineNanos = clock.nowNanos() + timeout.toNanos();
        byte[] prefix = readFully(PREFIX_BYTES, deadlineNanos);
        int length = ByteBuffer.wrap(prefix).getInt();
        if (length <= 0 || length > PeerCodec.MAX_FRAME_BYTES) {
            throw new MalformedFrameException(
                    "frame length %d is not between 1 and %d".formatted(length, PeerCodec.MAX_FRAME_BYTES), null);
        }
        byte[] bytes = readFully(length, deadlineNanos);
        traffic.addReceived((long) PREFIX_BYTES + length);
        return codec.decode(bytes);
    }

    private byte[] readFully(int length, long deadlineNanos) throws IOException {
        byte[] bytes = new byte[length];
        int filled = 0;
        while (filled < length) {
            long remainingMs = (deadlineNanos - clock.nowNanos()) / NANOS_PER_MILLI;
            if (remainingMs <= 0) {
                throw new SocketTimeoutException("no complete frame arrived within the timeout");
            }
            socket.setSoTimeout((int) Math.min(remainingMs, Integer.MAX_VALUE));
            int count = input.read(bytes, filled, length - filled);
            if (count < 0) {
                throw new EOFException("the peer closed the connection");
            }
            filled += count;
        }
        return bytes;
    }

    void write(Frame frame) throws IOException {
        writeEncoded(codec.encode(frame));
    }

    void writeEncoded(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(PREFIX_BYTES + bytes.length);
        buffer.putInt(bytes.length).put(bytes);
        output.write(buffer.array());
        output.flush();
        traffic.addSent(buffer.capacity());
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is unusable whether or not the close succeeded.
        }
    }
}
