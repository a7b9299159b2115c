package org.tamarackline.http;

import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.tamarackline.settings.Addresses;

/**
 * An asynchronous HTTP client with a small thread pool, for a fleet node and its stand-ins.
 *
 * <p>Every call ends within its timeout, with exactly one result. Failed connections are closed and not reused, and no call is retried.
 */
public final class AsyncHttpClient implements AutoCloseable {

    /** Start of the identity or state of an object in a message. */
    private static final Pattern OBJECT_STATE = Pattern.compile("[@{]");

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(900);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    /** Tag that keeps requests on new connections apart from the pooled connections to the same address. */
    private static final String NEW_CONNECTION_TAG = "new-connection";

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
     * Sends a request. Never throws: a request that cannot be sent has the result {@link HttpCallResult.NoResponse}.
     *
     * @param address IPv4 address and port, separated by a colon
     * @param target path and query
     * @param body JSON content, null for none
     * @param timeout timeout of the whole call
     * @param callback receives the result, once, on a thread of the client or of the caller
     */
    public void call(
            String method,
            String address,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            Consumer<HttpCallResult> callback) {
        send(new Call(method, address, target, headers, body, timeout), false, new ResponseListener(callback));
    }

    /**
     * Sends a request like {@link #call}, but over a connection that is opened for it and closed after it. An open
     * connection may have gone silent without having been closed.
     */
    public void callOnNewConnection(
            String method,
            String address,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            Consumer<HttpCallResult> callback) {
        send(new Call(method, address, target, headers, body, timeout), true, new ResponseListener(callback));
    }

    /** The parameters of {@link #call}, without the callback. */
    @SuppressWarnings("ArrayRecordComponent")
    private record Call(
            String method, String address, String target, Map<String, String> headers, byte[] body, Duration timeout) {}

    private void send(Call call, boolean newConnection, ResponseListener listener) {
        if (!Addresses.isIpAndPort(call.address())) {
            listener.complete(new HttpCallResult.NoResponse(true, "the address is not an IPv4 address and a port"));
            return;
        }
        Request request;
        try {
            request = toRequest(call);
        } catch (RuntimeException failure) {
            listener.complete(new HttpCallResult.NoResponse(true, describe(failure)));
            return;
        }
        if (newConnection) {
            request.tag(NEW_CONNECTION_TAG).headers(fields -> fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE));
        }
        try {
            request.send(listener);
        } catch (RuntimeException failure) {
            // Whether a part was sent is not known.
            listener.complete(new HttpCallResult.NoResponse(false, describe(failure)));
        }
    }

    private Request toRequest(Call call) {
        Request request = client.newRequest(Addresses.host(call.address()), Addresses.port(call.address()))
                .method(call.method())
                .path(call.target())
                .timeout(call.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .headers(fields -> call.headers().forEach(fields::put));
        return call.body() == null ? request : request.body(new BytesRequestContent("application/json", call.body()));
    }

    /** Describes a failure without the addresses and states of the client's objects that its message may contain. */
    static String describe(Throwable failure) {
        String type = failure.getClass().getSimpleName();
        String message = failure.getMessage() == null ? "" : OBJECT_STATE.split(failure.getMessage(), 2)[0].strip();
        return message.isEmpty() ? type : type + ": " + message;
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
        private final AtomicBoolean completed = new AtomicBoolean();

        ResponseListener(Consumer<HttpCallResult> callback) {
            super(MAX_RESPONSE_BYTES);
            this.callback = callback;
        }

        @Override
        public void onComplete(Result result) {
            if (result.isSucceeded()) {
                byte[] body = getContent();
                complete(new HttpCallResult.Response(
                        result.getResponse().getStatus(), body == null ? new byte[0] : body));
                return;
            }
            Throwable failure = result.getFailure();
            complete(new HttpCallResult.NoResponse(failure instanceof ConnectException, describe(failure)));
        }

        /** Passes on the first result. A callback that fails is logged and ends neither the caller nor its thread. */
        void complete(HttpCallResult result) {
            if (!completed.compareAndSet(false, true)) {
                return;
            }
            try {
                callback.accept(result);
            } catch (RuntimeException | Error failure) {
                LOGGER.atSevere().withCause(failure).atMostEvery(1, TimeUnit.SECONDS).log(
                        "callback of an HTTP call failed");
            }
        }
    }
}
