package org.tamarackline.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.tamarackline.http.HttpExchange;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which requests of other nodes end a leader. */
class PeerRequestHandlerTest {

    private final ElectionCluster cluster = new ElectionCluster();
    private final ElectionCluster.Node node = cluster.start("node-0");
    private final PeerRequestHandler handler =
            new PeerRequestHandler(node.loop(), node.election(), () -> "", () -> new byte[0]);

    private static final class FakeExchange implements HttpExchange {

        private final String method;
        private final String path;
        private final byte[] content;
        private final Map<String, String> requestHeaders = new HashMap<>();
        private int status;
        private String responseText;

        FakeExchange(String method, String path, byte[] content) {
            this.method = method;
            this.path = path;
            this.content = content;
        }

        @Override
        public String connectionId() {
            return "connection";
        }

        @Override
        public String method() {
            return method;
        }

        @Override
        public String host() {
            return "";
        }

        @Override
        public String path() {
            return path;
        }

        @Override
        public Map<String, String> query() {
            return Map.of();
        }

        @Override
        public byte[] body() {
            return content;
        }

        @Override
        public String header(String name) {
            return requestHeaders.get(name);
        }

        @Override
        public void respond(int code, Map<String, String> headers, byte[] body) {
            status = code;
            responseText = new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Guards against an answer that nodes of earlier versions cannot read, so that they take the leader for silent. */
    @Test
    void onlyNodesThatTellOfTheirTransactionsAreToldOfThoseOfThisNode() {
        cluster.loop().advance(Duration.ofSeconds(3));
        assertThat(request("GET", "/ping/node-1/60/330/4100").responseText).matches("1 0 \\d+ 0");
        FakeExchange exchange = new FakeExchange("GET", "/ping/node-2/1500/682/8192", new byte[0]);
        exchange.requestHeaders.put(PeerPaths.UNANSWERED_WRITES_MS, "0");
        handler.accept(exchange);
        cluster.loop().advance(Duration.ofMillis(100));
        assertThat(exchange.responseText).matches("1 0 \\d+ 0 unansweredWritesMs=0 probe");
    }

    private FakeExchange request(String method, String path) {
        return request(method, path, new byte[0]);
    }

    private FakeExchange request(String method, String path, byte[] body) {
        cluster.loop().advance(Duration.ofSeconds(1));
        assertThat(node.epoch()).isEqualTo(1);
        FakeExchange exchange = new FakeExchange(method, path, body);
        handler.accept(exchange);
        cluster.loop().advance(Duration.ofMillis(1));
        return exchange;
    }

    /** Guards against a response that is sent before the leader has ended. */
    @Test
    void stepDownEndsALeaderOfALowerEpoch() {
        FakeExchange exchange = request("POST", "/step-down/2");
        assertThat(exchange.status).isEqualTo(200);
        assertThat(exchange.responseText).isEqualTo(PeerPaths.STEPPED_DOWN);
        assertThat(node.leads()).isFalse();
    }

    /** Guards against an old request that ends a later leader. */
    @Test
    void stepDownLeavesALeaderOfTheSameEpoch() {
        assertThat(request("POST", "/step-down/1").status).isEqualTo(200);
        assertThat(node.leads()).isTrue();
    }

    /** Guards against reads and malformed requests that end a leader. */
    @Test
    void otherRequestsEndNoLeader() {
        assertThat(request("GET", "/step-down/2").status).isEqualTo(404);
        assertThat(request("POST", "/step-down/x").status).isEqualTo(400);
        assertThat(node.leads()).isTrue();
    }

    @Test
    void submissionIsStoredByTheLeader() {
        byte[] value = RecordCodec.encodeOpenJob(JobDefinitions.tasks("job1", 1, 10));
        FakeExchange exchange = request("POST", PeerPaths.SUBMISSIONS + "job1", value);
        cluster.loop().advance(Duration.ofSeconds(1));
        assertThat(exchange.status).isEqualTo(200);
        assertThat(SubmissionResponse.decode(exchange.responseText))
                .isInstanceOf(JobRequestHandler.Outcome.Accepted.class);
        assertThat(cluster.store().table(RecordStore.Table.JOBS)).containsKey("job1");
    }

    /** Guards against a record in the table of jobs that no leader can read. */
    @Test
    void submissionThatIsNoJobIsRefused() {
        byte[] value = RecordCodec.encodeOpenJob(JobDefinitions.tasks("job1", 1, 10));
        assertThat(request("POST", PeerPaths.SUBMISSIONS + "job1", new byte[] {1, 2, 3}).status)
                .isEqualTo(400);
        assertThat(request("POST", PeerPaths.SUBMISSIONS + "%21leader", value).status)
                .isEqualTo(400);
        assertThat(request("GET", PeerPaths.SUBMISSIONS + "job1", value).status).isEqualTo(404);
    }

    /** Guards against a request that is never answered, because its path has a malformed escape. */
    @Test
    void malformedPathParametersAreRefused() {
        assertThat(request("GET", PeerPaths.PING + "%zz").status).isEqualTo(400);
        assertThat(request("GET", PeerPaths.JOBS + "%").status).isEqualTo(400);
        assertThat(request("GET", PeerPaths.QUEUES + "%f").status).isEqualTo(400);
    }
}
