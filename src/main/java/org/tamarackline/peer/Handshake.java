package org.tamarackline.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.regex.Pattern;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.tamarackline.core.model.NodeId;
import org.tamarackline.settings.Secret;

/** Authenticates client and server to each other with the shared key when a connection opens. */
final class Handshake {

    static final int PROTOCOL_VERSION = 1;

    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 32;
    private static final Pattern NONCE = Pattern.compile("[0-9a-f]{64}");
    private static final HexFormat HEX = HexFormat.of();
    private static final byte SERVER_LABEL = 1;
    private static final byte CLIENT_LABEL = 2;

    private final LocalNode localNode;
    private final Secret key;
    private final Duration timeout;
    private final SecureRandom random = new SecureRandom();

    Handshake(LocalNode localNode, Secret key, Duration timeout) {
        this.localNode = localNode;
        this.key = key;
        this.timeout = timeout;
    }

    /** Runs the client's side with node {@code expected}; waits at most {@code limit} for each response. */
    void connect(FrameChannel channel, NodeId expected, Duration limit) throws IOException {
        Duration readTimeout = limit.compareTo(timeout) < 0 ? limit : timeout;
        Frame.Hello hello = new Frame.Hello(PROTOCOL_VERSION, localNode.node(), localNode.incarnation(), nonce());
        channel.write(hello);
        Frame response = channel.read(readTimeout);
        if (!(response instanceof Frame.Challenge challenge)) {
            throw rejected("the peer responded to the hello frame with " + describe(response));
        }
        checkProtocol(challenge.protocol());
        if (!challenge.node().equals(expected)) {
            throw rejected("the peer is node %s, not %s".formatted(challenge.node(), expected));
        }
        checkNonce(challenge.nonce());
        checkProof(proof(SERVER_LABEL, hello, challenge), challenge.proof());
        channel.write(new Frame.Proof(proof(CLIENT_LABEL, hello, challenge)));
        Frame last = channel.read(readTimeout);
        if (!(last instanceof Frame.Welcome)) {
            throw rejected("the peer responded to the proof with " + describe(last));
        }
    }

    /** Runs the server's side and returns the id of the authenticated client. */
    NodeId accept(FrameChannel channel) throws IOException {
        Frame first = channel.read(timeout);
        if (!(first instanceof Frame.Hello hello)) {
            throw rejected("the connection does not start with a hello frame");
        }
        checkProtocol(hello.protocol());
        checkNonce(hello.nonce());
        Frame.Challenge unsignedChallenge =
                new Frame.Challenge(PROTOCOL_VERSION, localNode.node(), localNode.incarnation(), nonce(), "");
        String serverProof = proof(SERVER_LABEL, hello, unsignedChallenge);
        channel.write(new Frame.Challenge(
                unsignedChallenge.protocol(),
                unsignedChallenge.node(),
                unsignedChallenge.incarnation(),
                unsignedChallenge.nonce(),
                serverProof));
        Frame second = channel.read(timeout);
        if (!(second instanceof Frame.Proof proof)) {
            throw rejected("the peer did not respond to the challenge with a proof");
        }
        checkProof(proof(CLIENT_LABEL, hello, unsignedChallenge), proof.proof());
        channel.write(new Frame.Welcome());
        return hello.node();
    }

    private String nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return HEX.formatHex(nonce);
    }

    private String proof(byte label, Frame.Hello hello, Frame.Challenge challenge) {
        byte[] client = hello.node().value().getBytes(StandardCharsets.UTF_8);
        byte[] server = challenge.node().value().getBytes(StandardCharsets.UTF_8);
        ByteBuffer text = ByteBuffer.allocate(
                1 + 3 * Integer.BYTES + 2 * Long.BYTES + client.length + server.length + 2 * NONCE_BYTES);
        text.put(label).putInt(PROTOCOL_VERSION);
        text.putInt(client.length).put(client).putLong(hello.incarnation().value());
        text.putInt(server.length).put(server).putLong(challenge.incarnation().value());
        text.put(HEX.parseHex(hello.nonce())).put(HEX.parseHex(challenge.nonce()));
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.reveal().getBytes(StandardCharsets.UTF_8), ALGORITHM));
            return HEX.formatHex(mac.doFinal(text.array()));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java runtime must support " + ALGORITHM, e);
        }
    }

    private static void checkProtocol(int protocol) throws HandshakeException {
        if (protocol != PROTOCOL_VERSION) {
            throw rejected(
                    "the peer uses protocol version %d, this node uses %d".formatted(protocol, PROTOCOL_VERSION));
        }
    }

    private static void checkNonce(String nonce) throws HandshakeException {
        if (nonce == null || !NONCE.matcher(nonce).matches()) {
            throw rejected("the peer's nonce is not %d bytes in lower-case hexadecimal".formatted(NONCE_BYTES));
        }
    }

    private static void checkProof(String expected, String actual) throws HandshakeException {
        if (actual == null || !MessageDigest.isEqual(bytes(expected), bytes(actual))) {
            throw rejected("the peer uses another shared key; set the same peer key on all nodes");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String describe(Frame frame) {
        return frame instanceof Frame.Failure failure
                ? "\"%s\"".formatted(failure.detail())
                : frame.getClass().getSimpleName();
    }

    private static HandshakeException rejected(String message) {
        return new HandshakeException(message);
    }
}
