package org.tamarackline.worker;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.task.WorkerProtocol.Refusal;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.http.BlockingHttpClient;
import org.tamarackline.http.BlockingHttpClient.CallFailedException;
import org.tamarackline.http.BlockingHttpClient.CompleteResponse;

/**
 * Sends commands to workers as JSON over HTTP.
 *
 * <p>A call that exceeds the timeout is aborted and idle connections are closed, because each further call on a silent
 * connection would also run into the timeout.
 */
public final class HttpWorkerGateway implements WorkerGateway, AutoCloseable {

    private static final JsonMapper JSON = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private static final int MAX_CONNECTIONS = 256;
    private static final int MAX_CONNECTIONS_PER_WORKER = 4;
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
    /** Far above any machine, and small enough that the sums over all workers do not overflow. */
    private static final Resources MAX_CAPACITY = new Resources(1_000_000_000, 1_000_000_000, 1_000);

    private static final int OK = 200;
    private static final int MIN_ERROR_STATUS = 400;

    private final Duration timeout;
    private final BlockingHttpClient http;

    /**
     * Creates a gateway; no connection is opened before the first call.
     *
     * @param timeout maximum duration of each call
     */
    public HttpWorkerGateway(Duration timeout) {
        this.timeout = timeout;
        this.http = new BlockingHttpClient(
                "worker-call-timeout",
                new BlockingHttpClient.Limits(
                        MAX_CONNECTIONS, MAX_CONNECTIONS_PER_WORKER, MAX_RESPONSE_BYTES, timeout));
    }

    @Override
    public RenewResponse renew(String address, RenewRequest request) throws WorkerException {
        RenewResponse response = parse(post(address, "/renew", request), RenewResponse.class);
        if (!isComplete(response)) {
            throw new WorkerOutcomeUnknownException("the response of the worker is incomplete or out of range", null);
        }
        return response;
    }

    /** A list that lacks a task would count as one on which the task has ended. */
    private static boolean isComplete(RenewResponse response) {
        return response.nonce() != null
                && isWithinBounds(response.capacity())
                && response.tasks() != null
                && response.tasks().stream().allMatch(HttpWorkerGateway::isComplete)
                && response.usage() != null
                && response.usage().stream()
                        .allMatch(sample -> sample != null && sample.taskId() != null && isWithinBounds(sample.used()));
    }

    private static boolean isComplete(TaskReport report) {
        return report != null && report.taskId() != null && report.state() != null;
    }

    private static boolean isWithinBounds(Resources amount) {
        return amount != null && Resources.NONE.fitsIn(amount) && amount.fitsIn(MAX_CAPACITY);
    }

    @Override
    public void start(String address, StartRequest request) throws WorkerException {
        post(address, "/tasks", request);
    }

    @Override
    public TaskReport checkpoint(String address, TaskCommand command) throws WorkerException {
        return report(address, "/checkpoint", command);
    }

    @Override
    public TaskReport throttle(String address, TaskCommand command) throws WorkerException {
        return report(address, "/throttle", command);
    }

    @Override
    public TaskReport stop(String address, TaskCommand command) throws WorkerException {
        return report(address, "/stop", command);
    }

    @Override
    public void forget(String address, TaskCommand command) throws WorkerException {
        post(address, "/forget", command);
    }

    @Override
    public void close() {
        http.close();
    }

    private TaskReport report(String address, String path, TaskCommand command) throws WorkerException {
        TaskReport report = parse(post(address, path, command), TaskReport.class);
        if (!isComplete(report)) {
            throw new WorkerOutcomeUnknownException("the response of the worker is incomplete", null);
        }
        return report;
    }

    private byte[] post(String address, String path, Object message) throws WorkerException {
        CompleteResponse response = send(address, path, encode(message));
        if (response.status() == OK) {
            return response.body();
        }
        if (response.status() >= MIN_ERROR_STATUS) {
            throw toException(address, response);
        }
        throw new WorkerOutcomeUnknownException(
                "worker %s responded with status %d".formatted(address, response.status()), null);
    }

    /** An error response without the fields of a refusal is not part of the protocol and leaves the outcome unknown. */
    private static WorkerException toException(String address, CompleteResponse response)
            throws WorkerOutcomeUnknownException {
        Refusal refusal = parse(response.body(), Refusal.class);
        if (refusal.code() == null || refusal.highestEpoch() == null) {
            return new WorkerOutcomeUnknownException(
                    "worker %s responded with status %d and no refusal".formatted(address, response.status()), null);
        }
        return new WorkerRefusedException(refusal);
    }

    private CompleteResponse send(String address, String path, byte[] body) throws WorkerException {
        URI uri;
        try {
            uri = URI.create("http://" + address + path);
        } catch (IllegalArgumentException malformed) {
            throw new WorkerUnreachableException("%s is not the address of a worker".formatted(address), malformed);
        }
        try {
            return http.send("POST", uri, body, timeout);
        } catch (CallFailedException failure) {
            if (!failure.possiblySent()) {
                throw new WorkerUnreachableException(
                        "worker %s could not be reached; nothing was sent".formatted(address), failure);
            }
            throw new WorkerOutcomeUnknownException("worker %s did not respond".formatted(address), failure);
        }
    }

    private static byte[] encode(Object message) {
        try {
            return JSON.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("message to a worker cannot be encoded as JSON", e);
        }
    }

    private static <T> T parse(byte[] body, Class<T> type) throws WorkerOutcomeUnknownException {
        try {
            T value = JSON.readValue(body, type);
            if (value == null) {
                throw new WorkerOutcomeUnknownException("the response of the worker is empty", null);
            }
            return value;
        } catch (IOException e) {
            throw new WorkerOutcomeUnknownException("the response of the worker cannot be decoded", e);
        }
    }
}
