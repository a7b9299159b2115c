package org.tamarackline.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.fleet.EventLoop;
import org.tamarackline.fleet.RunnerCalls;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpCallResult;

/** Sends commands and polls to runners over the platform's HTTP protocol. */
final class RunnerClient implements RunnerCalls {

    private static final Duration COMMAND_TIMEOUT = Duration.ofMillis(1_500);
    /** Added to the time for which a runner may wait before it responds to a poll. */
    private static final Duration POLL_TIMEOUT_MARGIN = Duration.ofMillis(900);

    private static final int MISDIRECTED = 421;
    private static final int CONFLICT = 409;

    /** Statuses of a runner that has done nothing; any other error may come after the command took effect. */
    private static final Set<Integer> NOT_EXECUTED = Set.of(400, CONFLICT, 429, 503);

    private final AsyncHttpClient http;
    private final EventLoop loop;

    RunnerClient(AsyncHttpClient http, EventLoop loop) {
        this.http = http;
        this.loop = loop;
    }

    @Override
    public void start(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        byte[] body = encodeStart(command, leaseUntilMs);
        post(runner, "/-/run-start", body, COMMAND_TIMEOUT, result -> callback.accept(toStartResponse(result)));
    }

    @Override
    public void startOnNewConnection(
            RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> callback) {
        byte[] body = encodeStart(command, leaseUntilMs);
        postOnNewConnection(
                runner, "/-/run-start", body, COMMAND_TIMEOUT, result -> callback.accept(toStartResponse(result)));
    }

    private static byte[] encodeStart(StartCommand command, long leaseUntilMs) {
        return Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(command.task()));
            json.writeNumberField("run", command.runNumber());
            json.writeStringField("spec", command.spec());
            // The lease belongs to the runner and covers all its runs.
            json.writeNumberField("untilMs", leaseUntilMs);
            json.writeNumberField("fence", command.epoch());
            if (!command.checkpoint().isEmpty()) {
                json.writeStringField("checkpoint", command.checkpoint());
            }
        });
    }

    private static StartResponse toStartResponse(HttpCallResult result) {
        RunnerCommandOutcome outcome = toCommandOutcome(result);
        String reason = reasonOf(result);
        return switch (outcome) {
            case DONE -> new StartResponse(StartResult.STARTED, outcome, reason);
            case FENCED -> new StartResponse(StartResult.REFUSED, outcome, reason);
            case RUNNER_REPLACED -> new StartResponse(StartResult.RUNNER_REPLACED, outcome, reason);
            case REFUSED ->
                new StartResponse(reason.equals("room") ? StartResult.NO_ROOM : StartResult.REFUSED, outcome, reason);
            case UNKNOWN ->
                neverSent(result)
                        ? new StartResponse(StartResult.REFUSED, outcome, reason)
                        : new StartResponse(StartResult.UNKNOWN, outcome, reason);
        };
    }

    private static boolean neverSent(HttpCallResult result) {
        return result instanceof HttpCallResult.NoResponse noResponse && noResponse.neverSent();
    }

    @Override
    public void stop(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        byte[] body = encodeStop(task, runNumber, epoch);
        post(runner, "/-/run-stop", body, COMMAND_TIMEOUT, result -> callback.accept(toCommandOutcome(result)));
    }

    @Override
    public void stopOnNewConnection(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        byte[] body = encodeStop(task, runNumber, epoch);
        postOnNewConnection(
                runner, "/-/run-stop", body, COMMAND_TIMEOUT, result -> callback.accept(toCommandOutcome(result)));
    }

    private static byte[] encodeStop(TaskKey task, long runNumber, long epoch) {
        return Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(task));
            json.writeNumberField("run", runNumber);
            json.writeNumberField("fence", epoch);
        });
    }

    @Override
    public void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long runNumber,
            int speedPercent,
            long epoch,
            Consumer<RunnerCommandOutcome> callback) {
        byte[] body = Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(task));
            json.writeNumberField("run", runNumber);
            json.writeNumberField("percent", speedPercent);
            json.writeNumberField("fence", epoch);
        });
        post(runner, "/-/pace", body, COMMAND_TIMEOUT, result -> callback.accept(toCommandOutcome(result)));
    }

    @Override
    public void poll(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        post(
                runner,
                "/-/hold",
                encodePoll(epoch, lastAcknowledgedEnd, leaseUntilMs, waitMs),
                POLL_TIMEOUT_MARGIN.plusMillis(waitMs),
                result -> callback.accept(toPollResponse(result)));
    }

    @Override
    public void pollOnNewConnection(
            RunnerDescriptor runner,
            long epoch,
            long lastAcknowledgedEnd,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> callback) {
        postOnNewConnection(
                runner,
                "/-/hold",
                encodePoll(epoch, lastAcknowledgedEnd, leaseUntilMs, waitMs),
                POLL_TIMEOUT_MARGIN.plusMillis(waitMs),
                result -> callback.accept(toPollResponse(result)));
    }

    private static byte[] encodePoll(long epoch, long lastAcknowledgedEnd, long leaseUntilMs, int waitMs) {
        return Json.encodeObject(json -> {
            if (leaseUntilMs > 0) {
                json.writeNumberField("untilMs", leaseUntilMs);
            }
            json.writeNumberField("fence", epoch);
            // Not the last end that was received, but the last that the runner may discard.
            json.writeNumberField("lastSeen", lastAcknowledgedEnd);
            if (waitMs > 0) {
                json.writeNumberField("waitMs", waitMs);
            }
        });
    }

    private static PollResponse toPollResponse(HttpCallResult result) {
        RunnerCommandOutcome outcome = toCommandOutcome(result);
        if (outcome != RunnerCommandOutcome.DONE) {
            return new PollResponse(outcome, null, reasonOf(result));
        }
        Optional<RunnerStatus> status = RunnerDecoder.decodeStatus(((HttpCallResult.Response) result).body());
        return status.map(decoded -> new PollResponse(RunnerCommandOutcome.DONE, decoded, ""))
                .orElseGet(() -> new PollResponse(RunnerCommandOutcome.REFUSED, null, "the status cannot be decoded"));
    }

    private void post(
            RunnerDescriptor runner, String path, byte[] body, Duration timeout, Consumer<HttpCallResult> callback) {
        http.call(
                "POST",
                runner.address(),
                path,
                headersFor(runner),
                body,
                timeout,
                result -> loop.execute(() -> callback.accept(result)));
    }

    private void postOnNewConnection(
            RunnerDescriptor runner, String path, byte[] body, Duration timeout, Consumer<HttpCallResult> callback) {
        http.callOnNewConnection(
                "POST",
                runner.address(),
                path,
                headersFor(runner),
                body,
                timeout,
                result -> loop.execute(() -> callback.accept(result)));
    }

    /** Returns the headers of each call; the platform's term for one incarnation of a runner is instance. */
    private static Map<String, String> headersFor(RunnerDescriptor runner) {
        return Map.of("Expect-Instance", runner.id());
    }

    static RunnerCommandOutcome toCommandOutcome(HttpCallResult result) {
        if (!(result instanceof HttpCallResult.Response response)) {
            return RunnerCommandOutcome.UNKNOWN;
        }
        if (response.status() == 200) {
            return RunnerCommandOutcome.DONE;
        }
        if (response.status() == MISDIRECTED) {
            return RunnerCommandOutcome.RUNNER_REPLACED;
        }
        if (response.status() == CONFLICT && reasonOf(result).equals("fence")) {
            return RunnerCommandOutcome.FENCED;
        }
        return NOT_EXECUTED.contains(response.status()) ? RunnerCommandOutcome.REFUSED : RunnerCommandOutcome.UNKNOWN;
    }

    /** Returns the reason of a refusal, or else the cause of the failure; empty on success. */
    private static String reasonOf(HttpCallResult result) {
        return switch (result) {
            case HttpCallResult.NoResponse noResponse -> noResponse.cause();
            case HttpCallResult.Response response -> {
                if (response.status() == 200) {
                    yield "";
                }
                String statusText = Integer.toString(response.status());
                yield Json.parse(response.body())
                        .map(root -> root.path("reason").asText(statusText))
                        .orElse(statusText);
            }
        };
    }
}
