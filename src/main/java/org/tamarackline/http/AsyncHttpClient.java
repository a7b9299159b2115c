package org.tamarackline.http;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * An asynchronous HTTP client with a small thread pool, for a fleet node and its stand-ins.
 *
 * <p>Every call ends within its timeout. Failed connections are closed and not reused, and no call is retried.
 */
public final class AsyncHttpClient implements AutoCloseable {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(900);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient client;

    /**
     * Creates and starts a client.
     *
     * @param maxConnectionsPerAddress maximum number of connections to one address
     * @throws HttpStartException if the client cannot start
     */
    public AsyncHttpClient(int maxConnectionsPerAddress) throws HttpStartException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("http-client");
        threads.setDaemon(true);
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setScheduler(new ScheduledExecutorScheduler("http-client-timer", true));
        client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setMaxConnectionsPerDestination(maxConnectionsPerAddress);
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception failure) {
            throw new HttpStartException(
                    "could not start the HTTP client: %s".formatted(failure.getMessage()), failure);
        }
        client.getContentDecoderFactories().clear();
    }

    /**
     * Sends a request.
     *
     * @param address host and port, separated by a colon
     * @param target path and query
     * @param body JSON content, null for none
     * @param timeout timeout of the whole call
     * @param callback receives the result on a thread of the client
     */
    public void call(
            String method,
            String address,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            Consumer<HttpCallResult> callback) {
        int colon = address.lastIndexOf(':');
        Request request = client.newRequest(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))
                .method(method)
                .path(target)
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .headers(fields -> headers.forEach(fields::put));
        if (body != null) {
            request.body(new BytesRequestContent("application/json", body));
        }
        request.send(new ResponseListener(callback));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception failure) {
            LOGGER.atWarning().withCause(failure).log(
                    "failed to stop the HTTP client; its sockets close when the process exits");
        }
    }

    /** Decodes a body as UTF-8. */
    public static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static final class ResponseListener extends BufferingResponseListener {

        private final Consumer<HttpCallResult> callback;

        ResponseListener(Consumer<HttpCallResult> callback) {
            super(MAX_RESPONSE_BYTES);
            this.callback = callback;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isSucceeded()) {
                byte[] body = getContent();
                callback.accept(new HttpCallResult.Response(
                        result.getResponse().getStatus(), body == null ? new byte[0] : body));
                return;
            }
            Throwable failure = result.getFailure();
            String cause = failure.getClass().getSimpleName() + ": " + failure.getMessage();
            callback.accept(new HttpCallResult.NoResponse(failure instanceof ConnectException, cause));
        }
    }
}
