package org.tamarackline.worker;

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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
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
import org.tamarackline.core.task.WorkerProtocol.Refusal;
import org.tamarackline.core.task.WorkerProtocol.RenewAnswer;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;

/**
 * Reaches workers over HTTP.
 *
 * <p>A call that does not end within its bound is aborted, and idle connections are closed with it: a connection that went
 * silent would otherwise cost a timeout each time it is used.
 */
public final class HttpWorkerGateway implements WorkerGateway, AutoCloseable {

    private static final JsonMapper JSON = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_CONNECTIONS_PER_WORKER = 4;
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final TimeValue IDLE_CHECK_AFTER = TimeValue.ofSeconds(1);
    private static final int OK = 200;
    private static final int FIRST_ERROR = 400;

    private final Duration timeout;
    private final PoolingHttpClientConnectionManager connections;
    private final CloseableHttpClient client;
    private final ScheduledExecutorService aborts;

    /**
     * Creates a gateway; no connection is opened before the first call.
     *
     * @param timeout bound on each call
     */
    public HttpWorkerGateway(Duration timeout) {
        this.timeout = timeout;
        connections = PoolingHttpClientConnectionManagerBuilder.create()
                .setMaxConnTotal(MAX_CONNECTIONS)
                .setMaxConnPerRoute(MAX_CONNECTIONS_PER_WORKER)
                .setDefaultConnectionConfig(ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(timeout))
                        .setValidateAfterInactivity(IDLE_CHECK_AFTER)
                        .build())
                .build();
        client = HttpClients.custom()
                .setConnectionManager(connections)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableContentCompression()
                .build();
        aborts = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("worker-call-timeout").daemon().factory());
    }

    @Override
    public RenewAnswer renew(String address, RenewRequest request) throws WorkerException {
        return parse(post(address, "/renew", request), RenewAnswer.class);
    }

    @Override
    public void start(String address, StartRequest request) throws WorkerException {
        post(address, "/tasks", request);
    }

    @Override
    public TaskReport checkpoint(String address, TaskCommand command) throws WorkerException {
        return parse(post(address, "/checkpoint", command), TaskReport.class);
    }

    @Override
    public TaskReport throttle(String address, TaskCommand command) throws WorkerException {
        return parse(post(address, "/throttle", command), TaskReport.class);
    }

    @Override
    public TaskReport stop(String address, TaskCommand command) throws WorkerException {
        return parse(post(address, "/stop", command), TaskReport.class);
    }

    @Override
    public void forget(String address, TaskCommand command) throws WorkerException {
        post(address, "/forget", command);
    }

    @Override
    public void close() {
        aborts.shutdownNow();
        client.close(CloseMode.IMMEDIATE);
    }

    private byte[] post(String address, String path, Object message) throws WorkerException {
        HttpPost request = new HttpPost(URI.create("http://" + address + path));
        request.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.of(timeout))
                .setResponseTimeout(Timeout.of(timeout))
                .build());
        request.setEntity(new ByteArrayEntity(write(message), ContentType.APPLICATION_JSON));
        Answer answer = execute(address, request);
        if (answer.status() == OK) {
            return answer.body();
        }
        if (answer.status() >= FIRST_ERROR) {
            throw refusal(address, answer);
        }
        throw new WorkerOutcomeUnknownException(
                "worker %s answered with status %d".formatted(address, answer.status()), null);
    }

    /** An error without the fields of a refusal does not come from the protocol and proves nothing. */
    private static WorkerException refusal(String address, Answer answer) throws WorkerOutcomeUnknownException {
        Refusal refusal = parse(answer.body(), Refusal.class);
        if (refusal.code() == null || refusal.highestEpoch() == null) {
            return new WorkerOutcomeUnknownException(
                    "worker %s answered with status %d and no refusal".formatted(address, answer.status()), null);
        }
        return new WorkerRefusedException(refusal);
    }

    private Answer execute(String address, HttpPost request) throws WorkerException {
        ScheduledFuture<?> abort = aborts.schedule(request::abort, timeout.toNanos(), TimeUnit.NANOSECONDS);
        try {
            return client.execute(request, HttpWorkerGateway::read);
        } catch (IOException failure) {
            connections.closeIdle(TimeValue.ZERO_MILLISECONDS);
            if (failedBeforeSending(failure)) {
                throw new WorkerUnreachableException(
                        "worker %s could not be reached; nothing was sent".formatted(address), failure);
            }
            throw new WorkerOutcomeUnknownException("worker %s did not answer".formatted(address), failure);
        } finally {
            abort.cancel(false);
        }
    }

    private static Answer read(ClassicHttpResponse response) throws IOException {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return new Answer(response.getCode(), new byte[0]);
        }
        try (InputStream content = entity.getContent()) {
            byte[] bytes = content.readNBytes(MAX_ANSWER_BYTES + 1);
            if (bytes.length > MAX_ANSWER_BYTES) {
                throw new IOException("answer is longer than %d bytes".formatted(MAX_ANSWER_BYTES));
            }
            return new Answer(response.getCode(), bytes);
        }
    }

    private static boolean failedBeforeSending(IOException failure) {
        return failure instanceof ConnectException
                || failure instanceof ConnectTimeoutException
                || failure instanceof ConnectionRequestTimeoutException
                || failure instanceof NoRouteToHostException
                || failure instanceof UnknownHostException;
    }

    private static byte[] write(Object message) {
        try {
            return JSON.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("message to a worker cannot be written as JSON", e);
        }
    }

    private static <T> T parse(byte[] body, Class<T> type) throws WorkerOutcomeUnknownException {
        try {
            T value = JSON.readValue(body, type);
            if (value == null) {
                throw new WorkerOutcomeUnknownException("the answer of the worker is empty", null);
            }
            return value;
        } catch (IOException e) {
            throw new WorkerOutcomeUnknownException("the answer of the worker is not valid", e);
        }
    }

    @SuppressWarnings("ArrayRecordComponent")
    private record Answer(int status, byte[] body) {}
}
