package org.tamarackline.platform;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.fleet.EventLoop;
import org.tamarackline.fleet.RunnerCalls;
import org.tamarackline.http.AsyncHttpClient;
import org.tamarackline.http.HttpReply;

/** The platform's calls to runners. */
final class RunnerClient implements RunnerCalls {

    private static final Duration ORDER_TIMEOUT = Duration.ofMillis(1_500);
    /** Added to the time that a runner may wait before it answers a hold. */
    private static final Duration HOLD_TIMEOUT = Duration.ofMillis(900);

    private static final int MISDIRECTED = 421;
    private static final int CONFLICT = 409;

    private final AsyncHttpClient http;
    private final EventLoop loop;

    RunnerClient(AsyncHttpClient http, EventLoop loop) {
        this.http = http;
        this.loop = loop;
    }

    @Override
    public void start(RunnerDescriptor runner, StartCommand command, long leaseUntilMs, Consumer<StartResponse> done) {
        byte[] body = Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(command.task()));
            json.writeNumberField("run", command.runNumber());
            json.writeStringField("spec", command.spec());
            // The lease is the runner's, not the run's: it applies to all that runs there.
            json.writeNumberField("untilMs", leaseUntilMs);
            json.writeNumberField("fence", command.epoch());
            if (!command.checkpoint().isEmpty()) {
                json.writeStringField("checkpoint", command.checkpoint());
            }
        });
        post(runner, "/-/run-start", body, ORDER_TIMEOUT, reply -> done.accept(startAnswer(reply)));
    }

    private static StartResponse startAnswer(HttpReply reply) {
        RunnerCommandOutcome outcome = orderAnswer(reply);
        String reason = reasonOf(reply);
        return switch (outcome) {
            case DONE -> new StartResponse(StartResult.STARTED, outcome, reason);
            case FENCED -> new StartResponse(StartResult.REFUSED, outcome, reason);
            case RUNNER_REPLACED -> new StartResponse(StartResult.RUNNER_REPLACED, outcome, reason);
            case REFUSED ->
                new StartResponse(reason.equals("room") ? StartResult.NO_ROOM : StartResult.REFUSED, outcome, reason);
            case UNKNOWN ->
                neverSent(reply)
                        ? new StartResponse(StartResult.REFUSED, outcome, reason)
                        : new StartResponse(StartResult.UNKNOWN, outcome, reason);
        };
    }

    private static boolean neverSent(HttpReply reply) {
        return reply instanceof HttpReply.NoAnswer none && none.neverSent();
    }

    @Override
    public void stop(RunnerDescriptor runner, TaskKey task, long run, long epoch, Consumer<RunnerCommandOutcome> done) {
        byte[] body = Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(task));
            json.writeNumberField("run", run);
            json.writeNumberField("fence", epoch);
        });
        post(runner, "/-/run-stop", body, ORDER_TIMEOUT, reply -> done.accept(orderAnswer(reply)));
    }

    @Override
    public void throttle(
            RunnerDescriptor runner,
            TaskKey task,
            long run,
            int percent,
            long epoch,
            Consumer<RunnerCommandOutcome> done) {
        byte[] body = Json.encodeObject(json -> {
            json.writeStringField("task", TaskKeyFormat.format(task));
            json.writeNumberField("run", run);
            json.writeNumberField("percent", percent);
            json.writeNumberField("fence", epoch);
        });
        post(runner, "/-/pace", body, ORDER_TIMEOUT, reply -> done.accept(orderAnswer(reply)));
    }

    @Override
    public void poll(
            RunnerDescriptor runner,
            long epoch,
            long confirmedEnds,
            long leaseUntilMs,
            int waitMs,
            Consumer<PollResponse> done) {
        byte[] body = Json.encodeObject(json -> {
            if (leaseUntilMs > 0) {
                json.writeNumberField("untilMs", leaseUntilMs);
            }
            json.writeNumberField("fence", epoch);
            // Not the last end that was seen, but the last that the runner may forget.
            json.writeNumberField("lastSeen", confirmedEnds);
            if (waitMs > 0) {
                json.writeNumberField("waitMs", waitMs);
            }
        });
        post(runner, "/-/hold", body, HOLD_TIMEOUT.plusMillis(waitMs), reply -> done.accept(holdAnswer(reply)));
    }

    private static PollResponse holdAnswer(HttpReply reply) {
        RunnerCommandOutcome outcome = orderAnswer(reply);
        if (outcome != RunnerCommandOutcome.DONE) {
            return new PollResponse(outcome, null, reasonOf(reply));
        }
        Optional<RunnerStatus> listing = RunnerDecoder.decodeStatus(((HttpReply.Answer) reply).body());
        return listing.map(rows -> new PollResponse(RunnerCommandOutcome.DONE, rows, ""))
                .orElseGet(() -> new PollResponse(RunnerCommandOutcome.REFUSED, null, "the listing cannot be read"));
    }

    private void post(RunnerDescriptor runner, String path, byte[] body, Duration timeout, Consumer<HttpReply> done) {
        http.call(
                "POST",
                runner.address(),
                path,
                // An instance is one incarnation of a runner.
                Map.of("Expect-Instance", runner.id()),
                body,
                timeout,
                reply -> loop.execute(() -> done.accept(reply)));
    }

    private static RunnerCommandOutcome orderAnswer(HttpReply reply) {
        if (!(reply instanceof HttpReply.Answer answer)) {
            return RunnerCommandOutcome.UNKNOWN;
        }
        if (answer.status() == 200) {
            return RunnerCommandOutcome.DONE;
        }
        if (answer.status() == MISDIRECTED) {
            return RunnerCommandOutcome.RUNNER_REPLACED;
        }
        return answer.status() == CONFLICT && reasonOf(reply).equals("fence")
                ? RunnerCommandOutcome.FENCED
                : RunnerCommandOutcome.REFUSED;
    }

    /** Returns the reason in a refusal, or what went wrong. */
    private static String reasonOf(HttpReply reply) {
        return switch (reply) {
            case HttpReply.NoAnswer none -> none.cause();
            case HttpReply.Answer answer -> {
                if (answer.status() == 200) {
                    yield "";
                }
                String status = Integer.toString(answer.status());
                yield Json.parse(answer.body())
                        .map(root -> root.path("reason").asText(status))
                        .orElse(status);
            }
        };
    }
}
