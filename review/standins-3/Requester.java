import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester: one request on a connection of its own. */
final class Requester {

    static final String HOST = "jobs.example";
    static final String PREFIX = "/jobs/";

    /** An answer; status 0 if there was none in time. */
    record Answer(int status, String body) {}

    private Requester() {}

    static Answer call(NodeProcesses.Node node, String method, String path, String body, int timeoutMs) {
        return call(node.host(), node.callerPort(), method, path, body, timeoutMs);
    }

    static boolean ready(NodeProcesses.Node node) {
        return call(node.host(), node.readyPort(), "GET", "/-/ready", "", 1_000).status() == 200;
    }

    private static Answer call(String host, int port, String method, String path, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            InputStream input = socket.getInputStream();
            input.transferTo(received);
            String text = received.toString(StandardCharsets.UTF_8);
            int bodyStart = text.indexOf("\r\n\r\n");
            if (bodyStart < 0) {
                return new Answer(0, "");
            }
            return new Answer(Integer.parseInt(text.split(" ", 3)[1]), text.substring(bodyStart + 4));
        } catch (IOException failure) {
            return new Answer(0, failure.toString());
        }
    }
}
