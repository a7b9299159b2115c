package org.tamarackline.entry.proxy;

import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.flogger.FluentLogger;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.tamarackline.core.routing.Runner;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.Executed;
import org.tamarackline.settings.EntrySettings;

/**
 * HTTP client that sends requests to runners and aborts those that exceed their deadline.
 *
 * <p>The library's retries, redirects and decompression are off: only the {@link RequestRouter} decides on retries, and bodies
 * pass unchanged. A connection is closed after a timeout, because it may never respond again. Thread-safe; {@link #send}
 * blocks and is meant for virtual threads.
 */
@Singleton
public final class UpstreamClient implements Closeable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Idle time after which a connection is validated before use, because the runner may have closed it. */
    private static final TimeValue VALIDATE_AFTER = TimeValue.ofSeconds(1);

    private static final TimeValue CLOSE_IDLE_AFTER = TimeValue.ofSeconds(20);
    /** One periodic check aborts all overdue exchanges; a timer task for each would wake the timer thread twice a request. */
    private static final Duration ABORT_CHECK_INTERVAL = Duration.ofMillis(20);

    private static final Duration IDLE_CLOSE_INTERVAL = Duration.ofSeconds(1);
    private static final int MAX_CONNECTIONS = 1024;
    private static final int MAX_HEADER_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEADERS = 200;
    private static final int DEFAULT_CONNECTIONS_PER_RUNNER = 64;

    private final MonotonicClock clock;
    private final Duration connectTimeout;
    private final PoolingHttpClientConnectionManager connections;
    private final CloseableHttpClient client;
    private final Set<Exchange> openExchanges = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer;
    private final ScheduledFuture<?> abortSchedule;
    private final AtomicLong lastIdleCloseNanos;

    /** Creates the client. */
    @Inject
    public UpstreamClient(EntrySettings settings, MonotonicClock clock) {
        this.clock = clock;
        this.lastIdleCloseNanos = new AtomicLong(clock.nowNanos() - IDLE_CLOSE_INTERVAL.toNanos());
        this.connectTimeout = settings.requests().connectTimeout();
        this.connections = PoolingHttpClientConnectionManagerBuilder.create()
                .setConnectionFactory(strictConnectionFactory())
                .setDefaultSocketConfig(SocketConfig.custom()
                        .setTcpNoDelay(true)
                        .setSoTimeout(Timeout.of(settings.requests().requestLimit()))
                        .build())
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(connectTimeout))
                        .setValidateAfterInactivity(VALIDATE_AFTER)
                        .build())
                .setMaxConnTotal(MAX_CONNECTIONS)
                .setMaxConnPerRoute(DEFAULT_CONNECTIONS_PER_RUNNER)
                .build();
        this.client = HttpClients.custom()
                .setConnectionManager(connections)
                .setRequestExecutor(new SendCheckExecutor())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableContentCompression()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableConnectionState()
                .disableDefaultUserAgent()
                .evictIdleConnections(CLOSE_IDLE_AFTER)
                .build();
        this.timer = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("upstream-deadlines").daemon().factory());
        this.abortSchedule = timer.scheduleWithFixedDelay(
                this::abortOverdue,
                ABORT_CHECK_INTERVAL.toMillis(),
                ABORT_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Rejects a response that does not start with a status line, instead of skipping lines until one follows. */
    private static ManagedHttpClientConnectionFactory strictConnectionFactory() {
        Http1Config limits = Http1Config.custom()
                .setMaxLineLength(MAX_HEADER_LINE_BYTES)
                .setMaxHeaderCount(MAX_HEADERS)
                .build();
        return ManagedHttpClientConnectionFactory.builder()
                .http1Config(limits)
                .responseParserFactory(new DefaultHttpResponseParserFactory(limits))
                .build();
    }

    /** Called immediately before the send, when a connection is open, to decide whether the request may still be sent. */
    @FunctionalInterface
    public interface SendCheck {
        /** Returns whether the request may be sent; if true, it counts as possibly executed from now on. */
        boolean maySend();
    }

    /**
     * Sends a request and returns the response once its headers have arrived.
     *
     * @param abortDeadlineNanos time by which the whole response must have been read; then the connection is closed
     * @throws UpstreamException if there is no response; it states whether a byte may have been sent
     */
    public UpstreamResponse send(Runner runner, UpstreamRequest request, long abortDeadlineNanos, SendCheck check)
            throws UpstreamException {
        Duration remaining = Duration.ofNanos(abortDeadlineNanos - clock.nowNanos());
        if (!remaining.isPositive()) {
            throw new UpstreamException(
                    UpstreamException.Reason.TIMEOUT, Executed.NO, "the deadline passed before the send", null);
        }
        Exchange exchange = new Exchange(request, check);
        return exchange.execute(hostOf(runner), remaining);
    }

    /** Sets how many connections this node may hold to the runner. */
    public void limitConnections(Runner runner, int limit) {
        connections.setMaxPerRoute(new HttpRoute(hostOf(runner)), limit);
    }

    /**
     * Closes idle connections after a timeout: connections of the same age may have stopped responding together, and each of
     * them would let another request time out. Does so at most once a second, so that slow runners do not cause a storm of
     * new connections.
     */
    void closeIdleAfterTimeout() {
        long nowNanos = clock.nowNanos();
        long lastNanos = lastIdleCloseNanos.get();
        if (nowNanos - lastNanos >= IDLE_CLOSE_INTERVAL.toNanos()
                && lastIdleCloseNanos.compareAndSet(lastNanos, nowNanos)) {
            connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
        }
    }

    @Override
    public void close() throws IOException {
        abortSchedule.cancel(false);
        timer.shutdownNow();
        client.close();
    }

    private void abortOverdue() {
        long nowNanos = clock.nowNanos();
        for (Exchange exchange : openExchanges) {
            if (exchange.abortDeadlineNanos - nowNanos <= 0) {
                abortSafely(exchange);
            }
        }
    }

    /** Catches runtime exceptions, which would otherwise end the periodic check. */
    private static void abortSafely(Exchange exchange) {
        try {
            exchange.abort();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("an overdue request could not be aborted");
        }
    }

    private static HttpHost hostOf(Runner runner) {
        int colon = runner.address().lastIndexOf(':');
        return new HttpHost(
                "http",
                runner.address().substring(0, colon),
                Integer.parseInt(runner.address().substring(colon + 1)));
    }

    /** Runs the send check and marks the request as sent before its first byte is written. */
    private static final class SendCheckExecutor extends HttpRequestExecutor {
        @Override
        public ClassicHttpResponse execute(
                ClassicHttpRequest request,
                HttpClientConnection connection,
                HttpResponseInformationCallback callback,
                HttpContext context)
                throws IOException, HttpException {
            Exchange exchange = (Exchange) context.getAttribute(Exchange.ATTRIBUTE);
            if (!exchange.check.maySend()) {
                throw new NotAdmittedException();
            }
            exchange.sent = true;
            return super.execute(request, connection, callback, context);
        }
    }

    private static final class NotAdmittedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** Wraps an error while reading the caller's body, to distinguish it from a failure of the runner. */
    private static final class CallerBodyException extends IOException {
        private static final long serialVersionUID = 1L;

        CallerBodyException(IOException cause) {
            super(cause);
        }
    }

    private static final class CallerBody extends FilterInputStream {
        CallerBody(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            try {
                return super.read();
            } catch (IOException e) {
                throw new CallerBodyException(e);
            }
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            try {
                return super.read(buffer, offset, length);
            } catch (IOException e) {
                throw new CallerBodyException(e);
            }
        }

        /** Does nothing: the servlet container owns the caller's stream. */
        @Override
        public void close() {}
    }

    private final class Exchange implements UpstreamResponse {
        static final String ATTRIBUTE = "tamarackline.exchange";

        private final HttpUriRequestBase httpRequest;
        private final SendCheck check;
        private volatile boolean sent;
        private volatile boolean aborted;
        private volatile long abortDeadlineNanos;
        private ClassicHttpResponse response;

        Exchange(UpstreamRequest request, SendCheck check) {
            this.check = check;
            this.httpRequest = new HttpUriRequestBase(request.method(), URI.create("/"));
            httpRequest.setPath(request.target());
            request.headers().forEach(field -> httpRequest.addHeader(field.name(), field.value()));
            RequestBody body = request.body();
            if (!body.isEmpty()) {
                // The content type is null because the caller's Content-Type header is forwarded with the other
                // headers.
                httpRequest.setEntity(new InputStreamEntity(new CallerBody(body.open()), body.length(), null));
            }
        }

        UpstreamResponse execute(HttpHost host, Duration remaining) throws UpstreamException {
            Timeout timeout = Timeout.of(remaining);
            httpRequest.setConfig(RequestConfig.custom()
                    .setConnectionRequestTimeout(timeout)
                    .setResponseTimeout(timeout)
                    .build());
            HttpClientContext context = HttpClientContext.create();
            context.setAttribute(ATTRIBUTE, this);
            abortDeadlineNanos = clock.nowNanos() + remaining.toNanos();
            openExchanges.add(this);
            try {
                response = client.executeOpen(host, httpRequest, context);
                return this;
            } catch (IOException | RuntimeException e) {
                openExchanges.remove(this);
                throw failure(e);
            }
        }

        private void abort() {
            openExchanges.remove(this);
            aborted = true;
            httpRequest.cancel();
        }

        private UpstreamException failure(Exception cause) {
            Executed executed = sent ? Executed.UNKNOWN : Executed.NO;
            return new UpstreamException(reasonOf(cause), executed, cause.toString(), cause);
        }

        private UpstreamException.Reason reasonOf(Exception cause) {
            if (cause instanceof NotAdmittedException) {
                return UpstreamException.Reason.NOT_ADMITTED;
            }
            if (cause instanceof CallerBodyException) {
                return UpstreamException.Reason.CALLER_BODY_FAILED;
            }
            if (aborted || (sent && cause instanceof SocketTimeoutException)) {
                return UpstreamException.Reason.TIMEOUT;
            }
            return sent ? UpstreamException.Reason.BROKEN : UpstreamException.Reason.UNREACHABLE;
        }

        @Override
        public int status() {
            return response.getCode();
        }

        @Override
        public List<HeaderField> headers() {
            List<HeaderField> fields = new ArrayList<>();
            for (Header header : response.getHeaders()) {
                fields.add(new HeaderField(header.getName(), header.getValue()));
            }
            return fields;
        }

        @Override
        public long bodyLength() {
            HttpEntity entity = response.getEntity();
            return entity == null ? 0 : entity.getContentLength();
        }

        @Override
        public InputStream body() throws IOException {
            HttpEntity entity = response.getEntity();
            return entity == null ? InputStream.nullInputStream() : entity.getContent();
        }

        @Override
        public void setAbortDeadline(long deadlineNanos) {
            abortDeadlineNanos = deadlineNanos;
        }

        @Override
        public boolean isAborted() {
            return aborted;
        }

        /** Cancels the request first, so that the library does not read the rest of an unneeded body. */
        @Override
        public void close() throws IOException {
            openExchanges.remove(this);
            httpRequest.cancel();
            response.close();
        }
    }
}
