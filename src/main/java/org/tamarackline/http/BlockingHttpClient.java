package org.tamarackline.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * A blocking HTTP client. The timeout of a call covers connecting, sending and reading the complete response.
 *
 * <p>After a failure it closes the failed connection and all idle ones: connections can become unresponsive together
 * while new ones work, and each of them would otherwise cost a timeout. No call is retried.
 */
public final class BlockingHttpClient implements AutoCloseable {

    private static final TimeValue VALIDATE_AFTER_INACTIVITY = TimeValue.ofSeconds(1);

    private final int maxResponseBytes;
    private final PoolingHttpClientConnectionManager connections;
    private final CloseableHttpClient client;
    private final ScheduledExecutorService abortTimer;

    /**
     * Limits of a client.
     *
     * @param maxConnections maximum number of open connections
     * @param maxConnectionsPerServer maximum number of open connections to one server
     * @param maxResponseBytes maximum length of a response body
     * @param connectTimeout timeout for opening a connection
     */
    public record Limits(
            int maxConnections, int maxConnectionsPerServer, int maxResponseBytes, Duration connectTimeout) {}

    /**
     * Creates a client; no connection is opened before the first call.
     *
     * @param threadName name of the thread that aborts calls after their timeout
     */
    public BlockingHttpClient(String threadName, Limits limits) {
        maxResponseBytes = limits.maxResponseBytes();
        connections = PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnTotal(limits.maxConnections())
                .setMaxConnPerRoute(limits.maxConnectionsPerServer())
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(limits.connectTimeout()))
                        .setValidateAfterInactivity(VALIDATE_AFTER_INACTIVITY)
                        .build())
                .build();
        client = HttpClients.custom()
                .setConnectionManager(connections)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableContentCompression()
                .build();
        abortTimer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name(threadName).daemon().factory());
    }

    /**
     * Sends a request and reads the complete response.
     *
     * @param body JSON content, null for none
     * @param timeout timeout of the whole call
     * @throws CallFailedException if the complete response did not arrive in time
     */
    public CompleteResponse send(String method, URI uri, byte[] body, Duration timeout) throws CallFailedException {
        HttpUriRequestBase request = new HttpUriRequestBase(method, uri);
        request.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.of(timeout))
                .setResponseTimeout(Timeout.of(timeout))
                .build());
        if (body != null) {
            request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
        }
        ScheduledFuture<?> abort = abortTimer.schedule(request::abort, timeout.toNanos(), TimeUnit.NANOSECONDS);
        try {
            return client.execute(request, this::readResponse);
        } catch (IOException failure) {
            connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
            throw new CallFailedException(method, failure, !failedBeforeSending(failure));
        } finally {
            abort.cancel(false);
        }
    }

    @Override
    public void close() {
        abortTimer.shutdownNow();
        client.close(CloseMode.IMMEDIATE);
    }

    private CompleteResponse readResponse(ClassicHttpResponse response) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return new CompleteResponse(response.getCode(), new byte[0]);
        }
        try (InputStream content = entity.getContent()) {
            byte[] bytes = content.readNBytes(maxResponseBytes + 1);
            if (bytes.length > maxResponseBytes) {
                throw new IOException("response exceeds %d bytes".formatted(maxResponseBytes));
            }
            return new CompleteResponse(response.getCode(), bytes);
        }
    }

    private static boolean failedBeforeSending(IOException failure) {
        return failure instanceof ConnectException
                || failure instanceof ConnectTimeoutException
                || failure instanceof ConnectionRequestTimeoutException
                || failure instanceof NoRouteToHostException
                || failure instanceof UnknownHostException;
    }

    /**
     * A response that was received completely.
     *
     * @param status HTTP status
     * @param body content, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record CompleteResponse(int status, byte[] body) {}

    /** Thrown if a call got no complete response. */
    public static final class CallFailedException extends Exception {

        private static final long serialVersionUID = 1L;

        private final boolean possiblySent;

        CallFailedException(String method, IOException cause, boolean possiblySent) {
            super(
                    "%s request got no complete response: %s"
                            .formatted(method, cause.getClass().getSimpleName()),
                    cause);
            this.possiblySent = possiblySent;
        }

        /** Returns whether any part of the request may have reached the server. */
        public boolean possiblySent() {
            return possiblySent;
        }
    }
}
