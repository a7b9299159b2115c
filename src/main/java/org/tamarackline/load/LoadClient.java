package org.tamarackline.load;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.tamarackline.standin.StandinJson;
import org.tamarackline.standin.upstream.StandinUpstream;

/** Sends single requests to upstream stand-ins, directly or through entry nodes, and verifies the responses. */
public final class LoadClient implements AutoCloseable {

    private static final int HTTP_OK = 200;
    private static final String EXECUTED_HEADER = "Tamarackline-Executed";

    private final CloseableHttpClient client;

    /**
     * Creates a client.
     *
     * @param connectionsPerTarget maximum number of connections to each target
     * @param timeout timeout for obtaining a connection and for each part of a response
     */
    public LoadClient(int connectionsPerTarget, Duration timeout) {
        client = HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
                        .setMaxConnPerRoute(connectionsPerTarget)
                        .setMaxConnTotal(Integer.MAX_VALUE)
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(Timeout.of(timeout))
                                .setValidateAfterInactivity(TimeValue.ofSeconds(1))
                                .build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setConnectionRequestTimeout(Timeout.of(timeout))
                        .setResponseTimeout(Timeout.of(timeout))
                        .build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableContentCompression()
                .disableAuthCaching()
                .build();
    }

    /** Sends one request and returns its outcome. */
    public RequestOutcome send(String baseUrl, LoadPlan plan, String requestId) {
        byte[] body = body(requestId, plan.bodyBytes());
        HttpUriRequestBase request =
                new HttpUriRequestBase(body.length > 0 ? "POST" : "GET", URI.create(baseUrl + plan.path()));
        plan.headers().forEach(request::setHeader);
        request.setHeader(StandinUpstream.REQUEST_ID_HEADER, requestId);
        if (body.length > 0) {
            request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM));
        }
        byte[] expected = body.length > 0 ? body : requestId.getBytes(StandardCharsets.UTF_8);
        try {
            return client.execute(request, response -> toOutcome(response, requestId, expected));
        } catch (IOException failure) {
            return new RequestOutcome(
                    requestId,
                    RequestOutcome.Kind.BROKEN,
                    0,
                    Optional.empty(),
                    Optional.of(failure.toString()),
                    Optional.empty());
        }
    }

    @Override
    public void close() {
        client.close(CloseMode.IMMEDIATE);
    }

    private static RequestOutcome toOutcome(ClassicHttpResponse response, String requestId, byte[] expected)
            throws IOException {
        byte[] content = response.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(response.getEntity());
        Optional<String> executed =
                Optional.ofNullable(response.getFirstHeader(EXECUTED_HEADER)).map(Header::getValue);
        RequestOutcome.Kind kind = outcomeKind(response, requestId, expected, content);
        Optional<String> code = kind == RequestOutcome.Kind.REFUSED ? errorField(content, "code") : Optional.empty();
        Optional<String> detail =
                kind == RequestOutcome.Kind.REFUSED ? errorField(content, "detail") : Optional.empty();
        return new RequestOutcome(requestId, kind, response.getCode(), code, detail, executed);
    }

    private static RequestOutcome.Kind outcomeKind(
            ClassicHttpResponse response, String requestId, byte[] expected, byte[] content) {
        if (response.getCode() != HTTP_OK) {
            return RequestOutcome.Kind.REFUSED;
        }
        Header echoedId = response.getFirstHeader(StandinUpstream.REQUEST_ID_HEADER);
        boolean isExpectedId = echoedId == null || echoedId.getValue().equals(requestId);
        return isExpectedId && Arrays.equals(content, expected)
                ? RequestOutcome.Kind.ANSWERED
                : RequestOutcome.Kind.MISMATCHED;
    }

    private static Optional<String> errorField(byte[] content, String name) {
        try {
            return Optional.ofNullable(StandinJson.mapper().readTree(content).get(name))
                    .map(JsonNode::asText);
        } catch (IOException notJson) {
            return Optional.empty();
        }
    }

    /** Returns a body that is unique to the request, so that a mismatched or truncated response is detected. */
    private static byte[] body(String requestId, int length) {
        byte[] id = (requestId + "|").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = id[i % id.length];
        }
        return body;
    }
}
