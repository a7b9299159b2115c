package org.tamarackline.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.operator.ConfigurationUpdater;
import org.tamarackline.entry.operator.FakeConfigurationUpdater;
import org.tamarackline.entry.operator.MonitoringModule;
import org.tamarackline.entry.operator.NodeStopConfirmer;
import org.tamarackline.entry.operator.OperatorModule;
import org.tamarackline.store.VmDirectory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the HTTP interface of a node over real sockets. Guards against access without a credential, operator resources on
 * the callers' port, accepted invalid input and errors that expose internal details.
 */
class EntryNodeTest {

    private static final FakeCluster CLUSTER = new FakeCluster(new NodeId("127.0.0.1:7400"));
    private static final List<String> OPERATOR_PATHS =
            List.of("/profiles", "/teams", "/vms", "/state", "/metrics", "/nodes/a/confirm-stopped", "/tasks/gc");
    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private static EntryNode node;

    /** A resource for callers that throws an exception or reads the request body. */
    @Path("/test")
    public static final class TestResource {

        @GET
        public String fail() {
            throw new IllegalStateException("internal detail");
        }

        @POST
        public String read(byte[] body) {
            return Integer.toString(body.length);
        }
    }

    private static final class TestModule extends AbstractModule {
        @Override
        protected void configure() {
            bind(Cluster.class).toInstance(CLUSTER);
            bind(ConfigurationUpdater.class).toInstance(new FakeConfigurationUpdater(CLUSTER));
            bind(NodeStopConfirmer.class).toInstance(stopped -> {});
            bind(VmDirectory.class).toInstance(List::of);
            bind(UsageSource.class).toInstance(EntryNodeTest::usage);
            Multibinder.newSetBinder(binder(), Object.class, CallerApi.class)
                    .addBinding()
                    .toInstance(new TestResource());
        }
    }

    @BeforeAll
    static void start() throws NodeStartException {
        node = EntryNode.start(
                TestSettings.onFreePorts(), List.of(new MonitoringModule(), new OperatorModule(), new TestModule()));
    }

    @AfterAll
    static void stop() {
        node.stop();
    }

    @BeforeEach
    void reset() {
        CLUSTER.setConfiguration(Optional.of(Configuration.initial()));
        CLUSTER.setMembershipStatus(MembershipStatus.CONFIRMED);
    }

    @Test
    void operatorRequestsRequireTheToken() throws Exception {
        for (String path : OPERATOR_PATHS) {
            assertThat(send(operator(path)).statusCode()).as(path).isEqualTo(401);
            HttpRequest.Builder wrongToken = operator(path).header("Authorization", "Bearer wrong");
            assertThat(send(wrongToken).statusCode()).as(path).isEqualTo(401);
        }
        assertThat(send(authorised("/profiles")).statusCode()).isEqualTo(200);
    }

    @Test
    void operatorResourcesAreNotServedOnTheCallerPort() throws Exception {
        for (String path : OPERATOR_PATHS) {
            HttpRequest.Builder request = caller(path).header("Authorization", "Bearer " + TestSettings.OPERATOR_TOKEN);
            assertThat(send(request).statusCode()).as(path).isEqualTo(404);
        }
    }

    @Test
    void readinessFollowsConfigurationAndMembershipStatus() throws Exception {
        assertThat(send(caller("/ready")).statusCode()).isEqualTo(200);
        CLUSTER.setMembershipStatus(MembershipStatus.ISOLATED);
        assertThat(send(caller("/ready")).body()).contains("ISOLATED");
        CLUSTER.setConfiguration(Optional.empty());
        HttpResponse<String> response = send(operator("/ready"));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.body()).contains("NO_CONFIGURATION");
        assertThat(send(caller("/live")).statusCode()).isEqualTo(200);
    }

    @Test
    void uncaughtExceptionsExposeNoInternalDetails() throws Exception {
        HttpResponse<String> response = send(caller("/test"));
        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(response.body()).contains("\"code\":\"INTERNAL\"").contains("\"executed\":\"unknown\"");
        assertThat(response.body()).doesNotContain("internal detail").doesNotContain("Exception");
    }

    @Test
    void oversizedBodiesAreRefusedWithAndWithoutADeclaredLength() throws Exception {
        byte[] body = new byte[(int) HttpLimits.MAX_CALLER_BODY_BYTES + 1];
        HttpRequest.Builder declared = caller("/test").POST(HttpRequest.BodyPublishers.ofByteArray(body));
        HttpRequest.Builder chunked = caller("/test")
                .POST(HttpRequest.BodyPublishers.fromPublisher(HttpRequest.BodyPublishers.ofByteArray(body)));
        assertThat(send(chunked).statusCode()).isEqualTo(413);
        assertThat(statusOrZeroIfClosed(declared)).isIn(413, 0);
        HttpRequest.Builder small = caller("/test").POST(HttpRequest.BodyPublishers.ofByteArray(new byte[10]));
        assertThat(send(small).body()).isEqualTo("10");
    }

    @Test
    void oversizedHeadersAreRefused() throws Exception {
        HttpResponse<String> response = send(caller("/test").header("X-Long", "a".repeat(20_000)));
        assertThat(response.statusCode()).isEqualTo(431);
        assertThat(response.body()).contains("HEADERS_TOO_LARGE");
    }

    @Test
    void malformedBodiesAreRefusedWithoutInternalClassNames() throws Exception {
        for (String body : List.of("{", "[]", "{\"priority\":\"high\"}", "{\"prioritaet\":1}")) {
            HttpResponse<String> response = send(put("/profiles/plan?version=0", body));
            assertThat(response.statusCode()).as(body).isEqualTo(400);
            assertThat(response.body()).contains("BAD_REQUEST").doesNotContain("org.tamarackline");
        }
    }

    @Test
    void versionConflictReportsTheCurrentVersion() throws Exception {
        String team = "{\"guaranteed\":{\"processorMillis\":1000,\"memoryMb\":512,\"accelerators\":0}}";
        HttpResponse<String> accepted = send(put("/teams/dyeing?version=0", team));
        assertThat(accepted.statusCode()).isEqualTo(200);
        assertThat(accepted.body())
                .contains("\"version\":1")
                .contains("inForce")
                .contains("notAnswered");
        HttpResponse<String> conflicting = send(put("/teams/knotting?version=0", team));
        assertThat(conflicting.statusCode()).isEqualTo(409);
        assertThat(conflicting.body()).contains("VERSION_CONFLICT").contains("\"currentVersion\":1");
        assertThat(send(authorised("/teams")).body()).contains("dyeing").doesNotContain("knotting");
    }

    @Test
    void changesRequireAVersion() throws Exception {
        assertThat(send(authorised("/profiles/overnight%20plan").DELETE()).statusCode())
                .isEqualTo(422);
    }

    @Test
    void unknownVmsCannotBeTakenOutOfService() throws Exception {
        assertThat(send(put("/vms/w1", "{\"inService\":false,\"version\":0}")).statusCode())
                .isEqualTo(404);
    }

    @Test
    void usageIsJsonOrCommaSeparatedValues() throws Exception {
        HttpResponse<String> json = send(authorised("/usage").header("Accept", "application/json"));
        assertThat(json.body()).contains("\"complete\":true").contains("\"usefulMs\":40");
        HttpResponse<String> csv = send(authorised("/usage").header("Accept", "text/csv"));
        assertThat(csv.body().lines())
                .containsExactly(
                        "team,kind,name,served,failed,useful_ms,repeated_ms,thrown_away_ms,complete",
                        "dyeing,REQUESTS,quotes,4,1,40,5,7,true");
    }

    @Test
    void stateDumpContainsNoSecrets() throws Exception {
        String dump = send(authorised("/state")).body();
        assertThat(dump).doesNotContain(TestSettings.OPERATOR_TOKEN).doesNotContain(TestSettings.PEER_KEY);
    }

    @Test
    void metricsIncludeTheNodesResourceUseAndState() throws Exception {
        assertThat(send(authorised("/metrics")).body())
                .contains("process_resident_bytes")
                .contains("control_cpu_seconds_total")
                .contains("shards_owned")
                .contains("node_standing{standing=\"CONFIRMED\"} 1.0");
    }

    private static UsageSource.Report usage() {
        UsageKey key = new UsageKey(new TeamName("dyeing"), UsageKey.Kind.REQUESTS, "quotes");
        return new UsageSource.Report(List.of(new UsageSource.Line(key, new UsageTotals(4, 1, 40, 5, 7))), true);
    }

    private static int statusOrZeroIfClosed(HttpRequest.Builder request) throws InterruptedException {
        try {
            return send(request).statusCode();
        } catch (IOException e) {
            // The node responds and closes the connection before it has read the body; the client may see only the
            // closing.
            return 0;
        }
    }

    private static HttpRequest.Builder caller(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:%d%s".formatted(node.callerPort(), path)));
    }

    private static HttpRequest.Builder operator(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:%d%s".formatted(node.operatorPort(), path)));
    }

    private static HttpRequest.Builder authorised(String path) {
        return operator(path).header("Authorization", "Bearer " + TestSettings.OPERATOR_TOKEN);
    }

    private static HttpRequest.Builder put(String path, String body) {
        return authorised(path)
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body));
    }

    private static HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
