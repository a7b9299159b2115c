package org.tamarackline.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.MonotonicClock;

/** An authenticated connection to another node. Concurrent calls share it; request ids match responses to calls. */
final class PeerConnection {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final NodeId node;
    private final FrameChannel channel;
    private final PeerCodec codec;
    private final PeerLimits limits;
    private final MonotonicClock clock;
    private final AtomicLong lastId = new AtomicLong(Frame.Failure.CONNECTION);
    private final Map<Long, CompletableFuture<Frame>> pending = new ConcurrentHashMap<>();
    private final FrameWriter writer;
    private volatile boolean retired;
    private volatile boolean closed;

    PeerConnection(NodeId node, FrameChannel channel, PeerCodec codec, PeerLimits limits, MonotonicClock clock) {
        this.node = node;
        this.channel = channel;
        this.codec = codec;
        this.limits = limits;
        this.clock = clock;
        writer = new FrameWriter(channel, limits.maxCalls(), failure -> close(String.valueOf(failure.getMessage())));
        Thread.ofVirtual().name("peer-read").start(this::readAll);
    }

    boolean isUsable() {
        return !retired && !closed;
    }

    PeerMessage call(PeerMessage request, long deadlineNanos) throws PeerException {
        long id = lastId.incrementAndGet();
        byte[] bytes = encode(id, request);
        CompletableFuture<Frame> response = new CompletableFuture<>();
        pending.put(id, response);
        try {
            if (closed) {
                throw failure(PeerException.Reason.UNREACHABLE, "connection to %s is closed".formatted(node), null);
            }
            if (pending.size() > limits.maxCalls() || !writer.offer(bytes)) {
                throw failure(
                        PeerException.Reason.UNREACHABLE,
                        "call to %s not sent: %d calls are in progress".formatted(node, limits.maxCalls()),
                        null);
            }
            Frame frame = response.get(Math.max(0, deadlineNanos - clock.nowNanos()), TimeUnit.NANOSECONDS);
            return unwrap(frame);
        } catch (TimeoutException e) {
            throw failure(PeerException.Reason.TIMEOUT, "node %s did not respond in time".formatted(node), e);
        } catch (ExecutionException e) {
            throw failure(PeerException.Reason.BROKEN, "connection to %s was lost".formatted(node), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure(PeerException.Reason.TIMEOUT, "call to %s was interrupted".formatted(node), e);
        } finally {
            pending.remove(id);
            closeIfRetiredAndIdle();
        }
    }

    /** Marks the connection as unusable for further calls; closes it once the calls in progress have ended. */
    void retire() {
        retired = true;
        closeIfRetiredAndIdle();
    }

    void close(String reason) {
        closed = true;
        channel.close();
        writer.close();
        IOException cause = new IOException(reason);
        pending.values().forEach(response -> response.completeExceptionally(cause));
    }

    private void closeIfRetiredAndIdle() {
        if (retired && pending.isEmpty() && !closed) {
            close("replaced by a new connection");
        }
    }

    private byte[] encode(long id, PeerMessage request) throws PeerException {
        try {
            return codec.encode(new Frame.Request(id, codec.toBody(request)));
        } catch (MalformedFrameException e) {
            throw failure(PeerException.Reason.INVALID_MESSAGE, e.getMessage(), e);
        }
    }

    private PeerMessage unwrap(Frame frame) throws PeerException {
        return switch (frame) {
            case Frame.Response response -> decode(response);
            case Frame.Failure failure -> throw failure(reasonOf(failure), failure.detail(), null);
            default ->
                throw failure(
                        PeerException.Reason.INVALID_MESSAGE,
                        "node %s sent %s as a response"
                                .formatted(node, frame.getClass().getSimpleName()),
                        null);
        };
    }

    private PeerMessage decode(Frame.Response response) throws PeerException {
        try {
            return codec.fromBody(response.body());
        } catch (MalformedFrameException e) {
            throw failure(PeerException.Reason.INVALID_MESSAGE, e.getMessage(), e);
        }
    }

    private static PeerException.Reason reasonOf(Frame.Failure failure) {
        return switch (failure.code()) {
            case MALFORMED, UNKNOWN_REQUEST -> PeerException.Reason.INVALID_MESSAGE;
            case HANDSHAKE -> PeerException.Reason.HANDSHAKE_REJECTED;
            case OVERLOADED, INTERNAL -> PeerException.Reason.REFUSED;
        };
    }

    private void readAll() {
        try {
            while (!closed) {
                dispatch(channel.read(limits.idleTimeout()));
            }
        } catch (MalformedFrameException e) {
            LOG.atWarning().log("connection to %s closed: %s", node, e.getMessage());
            close(e.getMessage());
        } catch (IOException e) {
            close(String.valueOf(e.getMessage()));
        }
    }

    private void dispatch(Frame frame) throws MalformedFrameException {
        switch (frame) {
            case Frame.Response response -> complete(response.id(), frame);
            case Frame.Failure failure
            when failure.id() == Frame.Failure.CONNECTION -> {
                pending.values().forEach(response -> response.complete(frame));
                close(failure.detail());
            }
            case Frame.Failure failure -> complete(failure.id(), frame);
            default ->
                throw new MalformedFrameException(
                        "unexpected frame " + frame.getClass().getSimpleName(), null);
        }
    }

    /** Passes the frame to the waiting call; drops a response whose call has timed out. */
    private void complete(long id, Frame frame) {
        CompletableFuture<Frame> response = pending.get(id);
        if (response != null) {
            response.complete(frame);
        }
    }

    private static PeerException failure(PeerException.Reason reason, String message, Throwable cause) {
        return new PeerException(reason, message, cause);
    }
}
