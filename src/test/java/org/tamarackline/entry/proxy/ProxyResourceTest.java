package org.tamarackline.entry.proxy;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.idempotency.IdempotencyKey;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.usage.AttemptOutcome;
import org.tamarackline.store.TableTransaction;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the request path over real sockets. Guards against partial or exchanged responses, untyped errors, non-idempotent
 * requests that are sent twice, and slots that are not released.
 */
class ProxyResourceTest {

    private static final String EXECUTED = "Tamarackline-Executed";

    @Test
    void forwardsRequestAndResponseWithoutHopByHopHeaders() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> ScriptedUpstream.reply(
                        connection,
                        201,
                        request.body(),
                        "X-Kept: 1",
                        "Connection: X-Private",
                        "X-Private: 1",
                        "Keep-Alive: timeout=5"));
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            HttpResponse<String> response = node.send(node.request("/a%20b/c?x=1&y=%7C")
                    .header("X-From-Caller", "yes")
                    .header("TE", "trailers")
                    .POST(HttpRequest.BodyPublishers.ofString("tassel")));

            assertThat(response.statusCode()).isEqualTo(201);
            assertThat(response.body()).isEqualTo("tassel");
            ProxyFixture.await(() -> node.recordedOutcomes.equals(List.of(AttemptOutcome.SERVED)));
            assertThat(response.headers().firstValue(EXECUTED)).contains("yes");
            assertThat(response.headers().map()).containsKey("x-kept").doesNotContainKeys("x-private", "keep-alive");
            ScriptedUpstream.ReceivedRequest received = runner.received.get(0);
            assertThat(received.requestLine()).isEqualTo("POST /a%20b/c?x=1&y=%7C HTTP/1.1");
            assertThat(received.headers())
                    .containsEntry("x-from-caller", "yes")
                    .doesNotContainKeys("te", "authorization");
            assertThat(Long.parseLong(received.headers().get("tamarackline-deadline-ms")))
                    .isBetween(1L, 1000L);
        }
    }

    /** Guards against requests that never end, and slots that are never released, when a response has no body. */
    @Test
    void releasesTheSlotOfAResponseWithoutBody() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> ScriptedUpstream.write(
                        connection,
                        "HTTP/1.1 " + request.path().substring(1) + " X\r\n"
                                + (request.requestLine().startsWith("HEAD") ? "Content-Length: 77\r\n\r\n" : "\r\n")));
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            for (int i = 0; i < 5; i++) {
                HttpResponse<String> head =
                        node.send(node.request("/200").method("HEAD", HttpRequest.BodyPublishers.noBody()));
                assertThat(head.headers().firstValue("Content-Length")).contains("77");
                assertThat(node.send(node.request("/204")).statusCode()).isEqualTo(204);
                assertThat(node.send(node.request("/304")).statusCode()).isEqualTo(304);
            }
            ProxyFixture.await(() -> node.inFlight.count() == 0);
            ProxyFixture.await(() -> node.broker.snapshot().openUses() == 0);
        }
    }

    @Test
    void streamsLargeBodiesBothWays() throws Exception {
        String large = "x".repeat(3_000_000);
        try (ScriptedUpstream runner = new ScriptedUpstream(
                        (request, connection) -> ScriptedUpstream.reply(connection, 200, request.body()));
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            HttpResponse<String> response =
                    node.send(node.request("/").POST(HttpRequest.BodyPublishers.ofString(large)));
            assertThat(response.body()).isEqualTo(large);
        }
    }

    /** Guards against a response that reaches the caller of another request when requests overlap. */
    @Test
    void givesEachCallerItsOwnAnswerWhenTheyArriveLateAndOutOfOrder() throws Exception {
        CountDownLatch fastAnswered = new CountDownLatch(1);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    if (request.path().contains("slow")) {
                        fastAnswered.await();
                    }
                    ScriptedUpstream.echo().respond(request, connection);
                });
                ProxyFixture node = ProxyFixture.withoutDeadline(runner)) {
            CompletableFuture<String> slow = getBodyAsync(node, "/slow");
            ProxyFixture.await(() -> runner.received.size() == 1);
            for (int i = 0; i < 50; i++) {
                CompletableFuture<String> fast = getBodyAsync(node, "/fast" + i);
                ProxyFixture.await(fast::isDone);
                assertThat(fast.join()).isEqualTo("/fast" + i);
            }
            assertThat(slow).isNotDone();
            fastAnswered.countDown();
            ProxyFixture.await(slow::isDone);
            assertThat(slow.join()).isEqualTo("/slow");
            assertThat(runner.acceptedConnections.get()).isEqualTo(2);
        }
    }

    /** If the response ended normally, the caller would take the partial body for the whole. */
    @Test
    void breaksTheConnectionWhenTheRunnerDiesInMidBody() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    ScriptedUpstream.write(
                            connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
                    connection.close();
                });
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            assertThatThrownBy(() -> node.send(node.request("/"))).isInstanceOf(IOException.class);
            ProxyFixture.await(() -> node.inFlight.count() == 0);
            ProxyFixture.await(() -> node.broker.snapshot().openUses() == 0);
            // The JDK client may retry a GET after a broken connection.
            assertThat(node.recordedOutcomes).isNotEmpty().containsOnly(AttemptOutcome.FAILED);
        }
    }

    @Test
    void returnsTheSlotWhenTheCallerGoesAway() throws Exception {
        CountDownLatch callerGone = new CountDownLatch(1);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    callerGone.await();
                    ScriptedUpstream.reply(connection, 200, "x".repeat(400_000));
                });
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            try (Socket caller = node.connect()) {
                ScriptedUpstream.write(
                        caller, "GET /services/quotes/ HTTP/1.1\r\nHost: x\r\n" + node.authorizationLine() + "\r\n");
                ProxyFixture.await(() -> runner.received.size() == 1);
                caller.setSoLinger(true, 0);
            }
            callerGone.countDown();
            ProxyFixture.await(() -> node.inFlight.count() == 0);
            ProxyFixture.await(() -> node.broker.snapshot().openUses() == 0);
        }
    }

    /** A connection that timed out may never respond again; a request that reused it would time out as well. */
    @Test
    void answersAtTheDeadlineAndDoesNotReuseTheTimedOutConnection() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> Thread.sleep(Duration.ofDays(1)));
                ProxyFixture node = ProxyFixture.withoutDeadline(runner)) {
            HttpResponse<String> timedOut = node.send(node.request("/").header("Tamarackline-Deadline-Ms", "2000"));
            assertThat(timedOut.statusCode()).isEqualTo(504);
            assertThat(timedOut.headers().firstValue(EXECUTED)).contains("unknown");
            assertThat(timedOut.body()).contains("\"code\":\"DEADLINE_EXCEEDED\"", "\"executed\":\"unknown\"");

            runner.script = ScriptedUpstream.echo();
            assertThat(getBody(node, "/again")).isEqualTo("/again");
            assertThat(runner.acceptedConnections.get()).isEqualTo(2);
            assertThat(node.broker.snapshot().openUses()).isEqualTo(1);
        }
    }

    /** A runner keeps working on a request that timed out; releasing its slot at the deadline would overload it. */
    @Test
    void holdsTheSlotOfALateResponseUntilItArrives() throws Exception {
        CountDownLatch late = new CountDownLatch(1);
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    late.await();
                    ScriptedUpstream.echo().respond(request, connection);
                });
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            for (int i = 0; i < 2; i++) {
                node.send(node.request("/").header("Tamarackline-Deadline-Ms", "50"));
            }
            HttpResponse<String> refused = node.send(node.request("/").header("Tamarackline-Deadline-Ms", "50"));
            assertThat(refused.statusCode()).isEqualTo(503);
            assertThat(refused.headers().firstValue(EXECUTED)).contains("no");
            assertThat(runner.maxConcurrentRequests.get()).isEqualTo(2);

            late.countDown();
            ProxyFixture.await(() -> node.broker.snapshot().openUses() == 0);
            assertThat(getBody(node, "/after")).isEqualTo("/after");
        }
    }

    @Test
    void neverExceedsTheSlotsOfARunnerUnderLoad() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream((request, connection) -> {
                    Thread.sleep(1);
                    ScriptedUpstream.echo().respond(request, connection);
                });
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            List<CompletableFuture<String>> responses = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                int id = i;
                responses.add(CompletableFuture.supplyAsync(
                        () -> getBody(node, "/" + id),
                        task -> Thread.ofVirtual().start(task)));
            }
            for (int i = 0; i < responses.size(); i++) {
                assertThat(responses.get(i).join()).isEqualTo("/" + i);
            }
            assertThat(runner.maxConcurrentRequests.get()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void sendsANonIdempotentRequestOnlyOnce() throws Exception {
        ScriptedUpstream.Script closesConnection = (request, connection) -> connection.close();
        try (ScriptedUpstream one = new ScriptedUpstream(closesConnection);
                ScriptedUpstream other = new ScriptedUpstream(closesConnection);
                ProxyFixture node = ProxyFixture.withRunners(one, other)) {
            HttpResponse<String> response =
                    node.send(node.request("/dose").POST(HttpRequest.BodyPublishers.ofString("1 l")));
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(response.headers().firstValue(EXECUTED)).contains("unknown");
            assertThat(one.received.size() + other.received.size()).isEqualTo(1);
        }
    }

    @Test
    void triesAnotherRunnerWhenNoByteWasSent() throws Exception {
        try (ScriptedUpstream stopped = new ScriptedUpstream(ScriptedUpstream.echo());
                ScriptedUpstream running = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(stopped, running)) {
            stopped.shutDown();
            for (int i = 0; i < 4; i++) {
                HttpResponse<String> response =
                        node.send(node.request("/dose").POST(HttpRequest.BodyPublishers.ofString("1 l")));
                assertThat(response.statusCode()).isEqualTo(200);
            }
            assertThat(running.received)
                    .hasSize(4)
                    .allSatisfy(received -> assertThat(received.body()).isEqualTo("1 l"));
        }
    }

    @Test
    void retriesASlowIdempotentRequestOnAnotherRunnerWithinTheBudget() throws Exception {
        try (ScriptedUpstream unresponsive = new ScriptedUpstream(ScriptedUpstream.echo());
                ScriptedUpstream responsive = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(unresponsive, responsive)) {
            for (int i = 0; i < 20; i++) {
                getBody(node, "/fill-budget");
            }
            unresponsive.script = (request, connection) -> Thread.sleep(Duration.ofDays(1));
            assertThat(List.of(getBody(node, "/1"), getBody(node, "/2"))).containsExactly("/1", "/2");
            HttpResponse<String> dose = node.send(node.request("/dose").POST(HttpRequest.BodyPublishers.noBody()));
            assertThat(unresponsive.received.stream()
                                    .filter(r -> r.path().equals("/dose"))
                                    .count()
                            + responsive.received.stream()
                                    .filter(r -> r.path().equals("/dose"))
                                    .count())
                    .isEqualTo(1);
            assertThat(dose.statusCode()).isIn(200, 504);
        }
    }

    @Test
    void givesNoNewWorkToARunnerThatSaysItIsLeaving() throws Exception {
        ScriptedUpstream.Script leaving =
                (request, connection) -> ScriptedUpstream.reply(connection, 503, "", "Tamarackline-Leaving: true");
        try (ScriptedUpstream one = new ScriptedUpstream(leaving);
                ScriptedUpstream other = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(one, other)) {
            for (int i = 0; i < 6; i++) {
                node.send(node.request("/dose").POST(HttpRequest.BodyPublishers.noBody()));
            }
            assertThat(one.received).hasSize(1);
            assertThat(other.received).hasSize(5);
        }
    }

    @Test
    void runsARequestWithAKeyOnce() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(
                        (request, connection) -> ScriptedUpstream.reply(connection, 200, "order 7", "X-Order: 7"));
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            assertThat(node.send(order(node, "1 tassel")).body()).isEqualTo("order 7");
            ProxyFixture.await(() -> node.send(order(node, "1 tassel")).statusCode() == 200);
            HttpResponse<String> repeat = node.send(order(node, "1 tassel"));

            assertThat(repeat.body()).isEqualTo("order 7");
            assertThat(repeat.headers().firstValue("X-Order")).contains("7");
            assertThat(repeat.headers().firstValue("Tamarackline-Replayed")).contains("true");
            assertThat(node.send(order(node, "2 tassels")).statusCode()).isEqualTo(422);
            assertThat(runner.received).hasSize(1);
        }
    }

    /** Guards against a caller that is told of an unknown outcome although the record shows that the request ran. */
    @Test
    void saysThatARequestRanWhoseRecordedResponseLacksAPart() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(
                        (request, connection) -> ScriptedUpstream.reply(connection, 200, "order 7"));
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            node.send(order(node, "1 tassel"));
            ProxyFixture.await(() -> node.send(order(node, "1 tassel")).statusCode() == 200);
            String partKey = new IdempotencyKey(ProxyFixture.QUOTES, ProxyFixture.CALLER, "key-1").bodyRowKey(0);
            long version = node.platform.get(partKey).orElseThrow().version();
            node.platform.transact(new TableTransaction(
                    "removal",
                    List.of(new TableTransaction.Check(partKey, version)),
                    List.of(new TableTransaction.Write(partKey, null))));

            HttpResponse<String> repeat = node.send(order(node, "1 tassel"));
            assertThat(repeat.statusCode()).isEqualTo(409);
            assertThat(repeat.headers().firstValue(EXECUTED)).contains("yes");
            assertThat(repeat.body()).contains("\"code\":\"ANSWER_NOT_RECORDED\"", "\"executed\":\"yes\"");
            assertThat(runner.received).hasSize(1);
        }
    }

    @Test
    void refusesARequestWithAKeyWhileThePlatformIsDown() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            node.platform.setDown(true);
            assertRefused(node, order(node, "1 tassel"), 503);
            node.platform.setDown(false);
            node.platform.applyNextWithUnknownOutcome();
            assertRefused(node, order(node, "1 tassel"), 503);
            assertThat(runner.received).isEmpty();
            assertThat(node.broker.snapshot().openUses()).isZero();
        }
    }

    /** Guards against a request that waits for a platform which does not respond, and misses its deadline in every outage. */
    @Test
    void answersARequestWithoutAKeyInAnOutageWithoutCallingThePlatform() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withoutDeadline(runner)) {
            node.cluster.setMembershipStatus(MembershipStatus.OUTAGE);
            int callsBefore = node.platform.reads() + node.platform.writes();
            HttpResponse<String> answer =
                    node.send(node.request("/order").POST(HttpRequest.BodyPublishers.ofString("1 tassel")));
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(runner.received).hasSize(1);
            assertThat(node.platform.reads() + node.platform.writes()).isEqualTo(callsBefore);
        }
    }

    private static HttpRequest.Builder order(ProxyFixture node, String body) {
        return node.request("/order")
                .header("Idempotency-Key", "key-1")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    @Test
    void refusesInvalidRequestsWithoutSendingThem() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            for (String deadline : List.of("0", "-5", "soon", "99999999999999999999")) {
                assertRefused(node, node.request("/").header("Tamarackline-Deadline-Ms", deadline), 400);
            }
            assertRefused(node, node.request("/").setHeader("Authorization", "Bearer wrong"), 401);
            assertRefused(node, node.request("/").setHeader("Authorization", "Basic x"), 401);
            assertRefused(node, node.requestOf("unknown", "/"), 404);
            assertRefused(node, node.request("/../unknown/"), 400);
            assertRefused(
                    node,
                    node.request("/").POST(HttpRequest.BodyPublishers.noBody()).header("Idempotency-Key", "/"),
                    400);
            node.cluster.setMembershipStatus(org.tamarackline.core.membership.MembershipStatus.ISOLATED);
            assertRefused(node, node.request("/"), 503);
            assertThat(runner.received).isEmpty();
            assertThat(node.inFlight.count()).isZero();
        }
    }

    @Test
    void rejectsMalformedAndOversizedHeaders() throws Exception {
        try (ScriptedUpstream runner = new ScriptedUpstream(ScriptedUpstream.echo());
                ProxyFixture node = ProxyFixture.withRunners(runner)) {
            List<String> heads = List.of(
                    "GET /services/quotes/ HTTP/1.1\r\nHost: x\r\nbroken line\r\n\r\n",
                    "GET /services/quotes/ HTTP/1.1\r\nHost: x\r\nX: " + "y".repeat(100_000) + "\r\n\r\n",
                    "POST /services/quotes/ HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n");
            for (String head : heads) {
                try (Socket caller = node.connect()) {
                    ScriptedUpstream.write(caller, head);
                    byte[] start = caller.getInputStream().readNBytes(10);
                    assertThat(new String(start, StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 4");
                }
            }
            runner.script = (request, connection) -> ScriptedUpstream.write(connection, "this is not HTTP\r\n\r\n");
            HttpResponse<String> response = node.send(node.request("/").POST(HttpRequest.BodyPublishers.noBody()));
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(response.headers().firstValue(EXECUTED)).contains("unknown");
        }
    }

    private static void assertRefused(ProxyFixture node, HttpRequest.Builder request, int status) throws Exception {
        HttpResponse<String> response = node.send(request);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue(EXECUTED)).contains("no");
        assertThat(response.body()).contains("\"code\"", "\"executed\":\"no\"").doesNotContain("Exception");
    }

    private static CompletableFuture<String> getBodyAsync(ProxyFixture node, String path) {
        return node.sendAsync(node.request(path)).thenApply(HttpResponse::body);
    }

    private static String getBody(ProxyFixture node, String path) {
        try {
            return node.send(node.request(path)).body();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
