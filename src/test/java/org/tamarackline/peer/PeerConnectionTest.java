package org.tamarackline.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.load.PortReservations;
import org.tamarackline.settings.Secret;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against responses to the wrong call, unbounded waits and servers that a faulty peer can stop. */
class PeerConnectionTest {

    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final Secret KEY = new Secret("shared");

    /** A request that the server returns as its response, if blocked only after {@link #release}. */
    record Echo(int number, boolean blocked) implements ClusterMessage {}

    private final PeerCodec codec = new PeerCodec(List.of(new PeerMessageType("echo", Echo.class)));
    private final CountDownLatch release = new CountDownLatch(1);
    private final AtomicInteger handled = new AtomicInteger();
    private final List<PeerClient> clients = new ArrayList<>();
    private final PortReservations ports = new PortReservations();
    private NodeId serverId;
    private PeerServer server;

    @BeforeEach
    void startServer() throws IOException {
        serverId = new NodeId("127.0.0.1:" + ports.reserve());
        server = new PeerServer(
                new LocalNode(serverId, new Incarnation(1)),
                KEY,
                codec,
                new PeerTraffic(),
                new PeerLimits(4, 8, LONG_TIMEOUT, LONG_TIMEOUT),
                Set.of(this::handle));
        server.start();
    }

    @AfterEach
    void stop() {
        release.countDown();
        clients.forEach(PeerClient::stop);
        server.stop();
        ports.close();
    }

    private Optional<PeerMessage> handle(NodeId sender, PeerMessage request) {
        handled.incrementAndGet();
        if (request instanceof Echo echo && echo.blocked()) {
            try {
                release.await(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return request instanceof Echo ? Optional.of(request) : Optional.empty();
    }

    private PeerClient client(Secret key) {
        PeerClient client = new PeerClient(
                new LocalNode(new NodeId("127.0.0.1:1"), new Incarnation(2)),
                key,
                codec,
                new PeerTraffic(),
                new PeerLimits(4, 64, LONG_TIMEOUT, LONG_TIMEOUT));
        clients.add(client);
        return client;
    }

    @Test
    void concurrentCallsGetTheirOwnResponses() throws Exception {
        PeerClient client = client(KEY);
        List<CompletableFuture<PeerMessage>> responses = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            Echo echo = new Echo(number, number % 2 == 0);
            responses.add(CompletableFuture.supplyAsync(() -> call(client, echo), Thread::startVirtualThread));
        }
        assertThat(responses.get(1).get(20, TimeUnit.SECONDS)).isEqualTo(new Echo(1, false));
        release.countDown();
        for (int number = 0; number < 8; number++) {
            assertThat(responses.get(number).get(20, TimeUnit.SECONDS)).isEqualTo(new Echo(number, number % 2 == 0));
        }
    }

    private PeerMessage call(PeerClient client, PeerMessage request) {
        try {
            return client.call(serverId, request, LONG_TIMEOUT);
        } catch (PeerException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void timeoutReplacesTheConnectionAndDropsTheLateResponse() throws Exception {
        PeerClient client = client(KEY);
        assertReason(() -> client.call(serverId, new Echo(1, true), SHORT_TIMEOUT), PeerException.Reason.TIMEOUT);
        release.countDown();
        assertThat(client.call(serverId, new Echo(2, false), LONG_TIMEOUT)).isEqualTo(new Echo(2, false));
    }

    @Test
    void wrongKeyIsRejectedByTheClientBeforeAnyRequest() {
        PeerClient client = client(new Secret("other"));
        assertReason(
                () -> client.call(serverId, new Echo(1, false), LONG_TIMEOUT), PeerException.Reason.HANDSHAKE_REJECTED);
        assertThat(handled).hasValue(0);
    }

    @Test
    void proofOfAnotherKeyIsRejectedByTheServer() throws Exception {
        try (Socket socket = connect()) {
            FrameChannel channel = new FrameChannel(socket, codec, new PeerTraffic(), System::nanoTime);
            NodeId sender = new NodeId("127.0.0.1:1");
            channel.write(new Frame.Hello(Handshake.PROTOCOL_VERSION, sender, new Incarnation(3), "00".repeat(32)));
            Frame.Challenge challenge = (Frame.Challenge) channel.read(LONG_TIMEOUT);
            // The server must not accept its own proof when a client reflects it.
            channel.write(new Frame.Proof(challenge.proof()));
            assertThat(channel.read(LONG_TIMEOUT))
                    .isInstanceOfSatisfying(
                            Frame.Failure.class,
                            failure -> assertThat(failure.code()).isEqualTo(Frame.FailureCode.HANDSHAKE));
        }
    }

    @Test
    void malformedFramesEndTheirConnectionOnly() throws Exception {
        PeerClient client = client(KEY);
        call(client, new Echo(1, false));
        for (byte[] malformed : List.of(
                ByteBuffer.allocate(4).putInt(PeerCodec.MAX_FRAME_BYTES + 1).array(),
                ByteBuffer.allocate(4).putInt(-1).array(),
                new byte[] {0, 0, 0, 3, (byte) 0xc1, 1, 2})) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write(malformed);
                DataInputStream input = new DataInputStream(socket.getInputStream());
                byte[] response = new byte[input.readInt()];
                input.readFully(response);
                assertThat(codec.decode(response)).isInstanceOf(Frame.Failure.class);
                assertThat(input.read()).isEqualTo(-1);
            }
        }
        assertThat(call(client, new Echo(2, false))).isEqualTo(new Echo(2, false));
    }

    @Test
    void unknownRequestIsRefusedAndTheConnectionStaysOpen() throws Exception {
        PeerClient client = client(KEY);
        assertReason(
                () -> client.call(serverId, new PeerMessage.Ok(), LONG_TIMEOUT), PeerException.Reason.INVALID_MESSAGE);
        assertThat(call(client, new Echo(2, false))).isEqualTo(new Echo(2, false));
    }

    @Test
    void callsBeyondTheLimitAreRefused() throws Exception {
        PeerClient client = client(KEY);
        List<CompletableFuture<PeerMessage>> blocked = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            Echo echo = new Echo(number, true);
            blocked.add(CompletableFuture.supplyAsync(() -> call(client, echo), Thread::startVirtualThread));
        }
        while (handled.get() < 8) {
            Thread.onSpinWait();
        }
        assertReason(() -> client.call(serverId, new Echo(9, false), LONG_TIMEOUT), PeerException.Reason.REFUSED);
        release.countDown();
        for (CompletableFuture<PeerMessage> response : blocked) {
            assertThat(response.get(20, TimeUnit.SECONDS)).isInstanceOf(Echo.class);
        }
    }

    @Test
    void brokenAndMissingServersAreReported() throws Exception {
        PeerClient client = client(KEY);
        call(client, new Echo(1, false));
        CompletableFuture<PeerException.Reason> broken =
                CompletableFuture.supplyAsync(() -> reasonOf(client, new Echo(2, true)), Thread::startVirtualThread);
        while (handled.get() < 2) {
            Thread.onSpinWait();
        }
        server.stop();
        assertThat(broken.get(20, TimeUnit.SECONDS)).isEqualTo(PeerException.Reason.BROKEN);
        assertThat(reasonOf(client, new Echo(3, false))).isEqualTo(PeerException.Reason.UNREACHABLE);
    }

    /** Guards against a connection that stays open after the client has stopped, because the stop missed its opening. */
    @Test
    void stopClosesAConnectionThatIsBeingOpened() throws Exception {
        PeerClient client = client(KEY);
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            NodeId silentId = new NodeId("127.0.0.1:" + silent.getLocalPort());
            CompletableFuture<PeerException.Reason> call = CompletableFuture.supplyAsync(
                    () -> reasonOf(client, silentId, new Echo(1, false)), Thread::startVirtualThread);
            try (Socket accepted = silent.accept()) {
                accepted.setSoTimeout((int) LONG_TIMEOUT.dividedBy(2).toMillis());
                client.stop();
                accepted.getInputStream().transferTo(OutputStream.nullOutputStream());
            }
            assertThat(call.get(20, TimeUnit.SECONDS)).isEqualTo(PeerException.Reason.UNREACHABLE);
        }
    }

    private PeerException.Reason reasonOf(PeerClient client, PeerMessage request) {
        return reasonOf(client, serverId, request);
    }

    private static PeerException.Reason reasonOf(PeerClient client, NodeId node, PeerMessage request) {
        try {
            throw new IllegalStateException(
                    "response instead of a failure: " + client.call(node, request, LONG_TIMEOUT));
        } catch (PeerException e) {
            return e.reason();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), server.boundAddress().getPort());
        socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
        return socket;
    }

    private static void assertReason(
            org.assertj.core.api.ThrowableAssert.ThrowingCallable call, PeerException.Reason reason) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        PeerException.class, e -> assertThat(e.reason()).isEqualTo(reason));
    }
}
