package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.Collection;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.tamarackline.core.fleet.FleetObserver;
import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Job;
import org.tamarackline.core.fleet.LongRunningWait;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerCommand;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.logging.LineSink;

/**
 * Log of the node's decisions: writes one JSON line for each event that affects a job, a runner, the leadership or the
 * connection to the store.
 */
public final class DecisionLog implements FleetObserver {

    private static final JsonFactory JSON = new JsonFactory();

    /** Maximum number of elements of a list in a line. */
    private static final int MAX_LISTED = 20;

    private final LineSink sink;
    private final InstantSource timeOfDay;
    private final MonotonicClock clock;
    private final String node;

    /**
     * Creates a log.
     *
     * @param clock clock of the event loop, which the times of runs and requests are measured with
     * @param node name of the node, part of each line
     */
    public DecisionLog(LineSink sink, InstantSource timeOfDay, MonotonicClock clock, String node) {
        this.sink = sink;
        this.timeOfDay = timeOfDay;
        this.clock = clock;
        this.node = node;
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private void writeLine(String event, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("timeMs", timeOfDay.millis());
            json.writeStringField("node", node);
            json.writeStringField("event", event);
            fields.write(json);
            json.writeEndObject();
        } catch (IOException failure) {
            throw new UncheckedIOException("writing to a memory buffer failed", failure);
        }
        sink.write(bytes.toByteArray());
    }

    /** Logs that the process starts, stops or reloads its settings. */
    public void process(String event, String detail) {
        writeLine(event, json -> json.writeStringField("detail", detail));
    }

    /** Logs the result of a submission. */
    public void submitted(
            String job,
            String queue,
            long configurationVersion,
            long configurationAgeMs,
            String result,
            String reason) {
        writeLine("submit", json -> {
            json.writeStringField("job", job);
            json.writeStringField("queue", queue);
            json.writeNumberField("configurationVersion", configurationVersion);
            json.writeNumberField("configurationAgeMs", configurationAgeMs);
            json.writeStringField("answer", result);
            json.writeStringField("reason", reason);
        });
    }

    /**
     * Logs that a request matches no queue.
     *
     * @param configurationAgeMs time for which the configuration may have been outdated
     */
    public void noQueue(String path, long configurationVersion, long configurationAgeMs) {
        writeLine("no-queue", json -> {
            json.writeStringField("path", path);
            json.writeNumberField("configurationVersion", configurationVersion);
            json.writeNumberField("configurationAgeMs", configurationAgeMs);
        });
    }

    /** Logs the result of a cancellation. */
    public void cancelled(String job, String result, String reason) {
        writeLine("cancel", json -> {
            json.writeStringField("job", job);
            json.writeStringField("answer", result);
            json.writeStringField("reason", reason);
        });
    }

    /** Logs a state request that failed or that found no job. */
    public void stateRequestFailed(String job, String result, String reason) {
        writeLine("state", json -> {
            json.writeStringField("job", job);
            json.writeStringField("answer", result);
            json.writeStringField("reason", reason);
        });
    }

    void startCompleted(Run run, long epoch, RunnerCalls.StartResponse response, long sentNanos) {
        writeLine("start", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeNumberField("epoch", epoch);
            json.writeBooleanField("resumed", !run.checkpoint().isEmpty());
            json.writeNumberField("waitedMs", (clock.nowNanos() - sentNanos) / 1_000_000);
            json.writeStringField("outcome", response.result().name());
            json.writeStringField("reason", response.reason());
        });
    }

    /** Logs that a start is sent again on a new connection, because it has had no response for some time. */
    void startRepeated(Run run, long epoch, long sentNanos) {
        writeLine("start-repeated", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeNumberField("epoch", epoch);
            json.writeNumberField("waitedMs", (clock.nowNanos() - sentNanos) / 1_000_000);
        });
    }

    void throttleSent(Run run, int speedPercent, long epoch) {
        writeLine("pace", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeNumberField("epoch", epoch);
            json.writeNumberField("percent", speedPercent);
        });
    }

    /**
     * Logs that this leader has learned of a cancellation.
     *
     * @param previousAgeMs time for which this leader may not have known of it: since the last answered read of the jobs
     *     before was sent
     */
    void cancellationRead(String job, long previousAgeMs) {
        writeLine("cancellation-read", json -> {
            json.writeStringField("job", job);
            json.writeNumberField("previousAgeMs", previousAgeMs);
        });
    }

    void stopSent(RunnerCommand.Stop stop, long epoch) {
        writeLine("stop", json -> {
            writeStop(json, stop);
            json.writeNumberField("epoch", epoch);
            json.writeStringField("cause", stop.cause().toString());
        });
    }

    /** Logs that a runner has not confirmed a stop. */
    void stopNotConfirmed(RunnerCommand.Stop stop, RunnerCalls.RunnerCommandOutcome outcome, long sentNanos) {
        writeLine("stop-unconfirmed", json -> {
            writeStop(json, stop);
            json.writeNumberField("waitedMs", (clock.nowNanos() - sentNanos) / 1_000_000);
            json.writeStringField("outcome", outcome.name());
        });
    }

    private static void writeStop(JsonGenerator json, RunnerCommand.Stop stop) throws IOException {
        writeRun(json, stop.task(), stop.runNumber(), stop.runner().id());
        json.writeNumberField("attempt", stop.attempt());
    }

    @Override
    public void cancelledRunEnded(Run run, long sinceCancelledNanos) {
        writeLine("cancelled-run-ended", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeNumberField("sinceCancelledMs", sinceCancelledNanos / 1_000_000);
        });
    }

    @Override
    public void runEnded(FleetRunner runner, RunnerStatus.EndedRun row, Run run) {
        writeLine("end", json -> {
            writeRun(json, row.task(), row.runNumber(), runner.id());
            json.writeNumberField("number", row.sequenceNumber());
            json.writeStringField("reason", row.reason().name());
            if (run != null) {
                json.writeNumberField("tookMs", (clock.nowNanos() - run.createdNanos()) / 1_000_000);
            }
        });
    }

    @Override
    public void runAdopted(Run run) {
        writeLine(
                "adopt",
                json -> writeRun(
                        json, run.task().key(), run.number(), run.runner().id()));
    }

    @Override
    public void runEvicted(Run run, String reason) {
        writeLine("give-up", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeStringField("reason", reason);
        });
    }

    @Override
    public void runLost(Run run, String reason) {
        writeLine("run-lost", json -> {
            writeRun(json, run.task().key(), run.number(), run.runner().id());
            json.writeStringField("reason", reason);
        });
    }

    @Override
    public void runnerRestarted(FleetRunner runner, long previousStartEpochMs) {
        writeLine("runner-restarted", json -> {
            json.writeStringField("runner", runner.id());
            json.writeNumberField("previousStartMs", previousStartEpochMs);
            json.writeNumberField("startMs", runner.processStartEpochMs());
        });
    }

    @Override
    public void jobFinished(Job job) {
        writeLine("job-end", json -> {
            json.writeStringField("job", job.id());
            json.writeStringField("state", job.terminalState().name());
            json.writeNumberField("ageMs", timeOfDay.millis() - job.definition().acceptedEpochMs());
        });
    }

    private static void writeRun(JsonGenerator json, TaskKey task, long runNumber, String runner) throws IOException {
        json.writeStringField("job", task.job());
        json.writeStringField("task", task.toString());
        json.writeNumberField("run", runNumber);
        json.writeStringField("runner", runner);
    }

    void runnerSilent(String runner, String reason) {
        writeLine("runner-silent", json -> {
            json.writeStringField("runner", runner);
            json.writeStringField("reason", reason);
        });
    }

    /**
     * Logs that a runner is about to leave.
     *
     * @param ageMs time since the directory was requested that says so
     */
    void runnerDraining(String runner, long ageMs) {
        writeLine("runner-draining", json -> {
            json.writeStringField("runner", runner);
            json.writeNumberField("directoryAgeMs", ageMs);
        });
    }

    void runnerBack(String runner, int missedPolls) {
        writeLine("runner-back", json -> {
            json.writeStringField("runner", runner);
            json.writeNumberField("missedHolds", missedPolls);
        });
    }

    void runnerLost(String runner, String reason) {
        writeLine("runner-lost", json -> {
            json.writeStringField("runner", runner);
            json.writeStringField("reason", reason);
        });
    }

    /** Logs that nothing can run on a silent runner any more. */
    void runnerLost(String runner, String reason, RunnerLoss loss) {
        writeLine("runner-lost", json -> {
            json.writeStringField("runner", runner);
            json.writeStringField("reason", reason);
            json.writeNumberField("silentMs", loss.silentMs());
            json.writeNumberField("leaseEndedMs", loss.leaseEndedMs());
            json.writeNumberField("confirmedAfterMs", loss.confirmedAfterMs());
        });
    }

    /**
     * Logs an event about the wait for a runner.
     *
     * @param remainingMs time until everything on the runner has ended, in milliseconds; empty if it is not known
     */
    void runnerEvent(String event, String runner, OptionalLong remainingMs, String reason) {
        writeLine(event, json -> {
            json.writeStringField("runner", runner);
            writeIfPresent(json, "remainingMs", remainingMs);
            json.writeStringField("reason", reason);
        });
    }

    /** Logs an event about the waits for runners of which none is named. */
    void runnerEvents(String event, RunnerEventLog.Summary summary, String reason) {
        writeLine(event, json -> {
            json.writeNumberField("runners", summary.runners());
            writeIfPresent(json, "minRemainingMs", summary.minRemainingMs());
            writeIfPresent(json, "maxRemainingMs", summary.maxRemainingMs());
            json.writeStringField("reason", reason);
        });
    }

    /**
     * Logs what a long-running task waits for.
     *
     * @param retryMs time after which the store is asked again to store the placement that it rejected, 0 if it has not
     */
    void longRunningTaskWaits(LongRunningWait wait, long retryMs) {
        writeLine("task-waits", json -> {
            json.writeStringField("job", wait.task().job());
            json.writeStringField("task", wait.task().toString());
            json.writeNumberField("waitedMs", wait.waitedNanos() / 1_000_000);
            json.writeStringField("waitsFor", wait.cause().toString());
            writeTexts(json, "runners", wait.runners());
            if (wait.cause() == LongRunningWait.Cause.PLACEMENT_REJECTED) {
                json.writeNumberField("retryMs", retryMs);
            }
        });
    }

    private static void writeIfPresent(JsonGenerator json, String name, OptionalLong value) throws IOException {
        if (value.isPresent()) {
            json.writeNumberField(name, value.getAsLong());
        }
    }

    /** Writes at most {@link #MAX_LISTED} texts. */
    private static void writeTexts(JsonGenerator json, String name, Collection<String> texts) throws IOException {
        json.writeArrayFieldStart(name);
        for (String text : texts.stream().limit(MAX_LISTED).toList()) {
            json.writeString(text);
        }
        json.writeEndArray();
    }

    /** Logs that an entry of the directory does not describe a usable runner. */
    public void rejectedRunnerEntry(String runner, String reason) {
        writeLine("runner-entry-rejected", json -> {
            json.writeStringField("runner", runner);
            json.writeStringField("reason", reason);
        });
    }

    void leadership(String event, long epoch, String leader, String reason) {
        writeLine(event, json -> {
            json.writeNumberField("epoch", epoch);
            json.writeStringField("leader", leader);
            json.writeStringField("reason", reason);
        });
    }

    /**
     * Logs that this node leads.
     *
     * @param record its leader record, with the earlier leaders that may still be active
     */
    void leaderStarted(LeaderRecord record, String reason) {
        writeLine("leader-started", json -> {
            json.writeNumberField("epoch", record.epoch());
            json.writeStringField("leader", record.node());
            json.writeStringField("reason", reason);
            json.writeNumberField(
                    "possiblyActiveLeaders", record.possiblyActive().size());
            writeTexts(
                    json,
                    "possiblyActiveAddresses",
                    record.possiblyActive().stream()
                            .map(LeaderRecord.EarlierLeader::address)
                            .toList());
        });
    }

    /** Logs that this node suspects the leader, and what it knows about it. */
    void leaderSuspected(LeaderRecord leader, String reason, LeaderSuspicion suspicion) {
        writeLine("leader-suspected", json -> {
            json.writeNumberField("epoch", leader.epoch());
            json.writeStringField("leader", leader.node());
            json.writeStringField("reason", reason);
            writeTexts(json, "pingFailures", suspicion.pingFailures());
            writeIfPresent(json, "sinceAnswerMs", suspicion.sinceAnswerMs());
            writeIfPresent(json, "leaderStoreAgeMs", suspicion.leaderStoreAgeMs());
            writeIfPresent(json, "leaderUnansweredWritesMs", suspicion.leaderUnansweredWritesMs());
            json.writeNumberField("ownLoopDelayMs", suspicion.ownLoopDelayMs());
        });
    }

    /**
     * Logs that no earlier leader can raise the lease limit any more.
     *
     * @param remainingMs time until it, in milliseconds; empty if it is unknown
     */
    void leaseLimitKnown(LeaderRecord leader, OptionalLong remainingMs) {
        writeLine("lease-limit-known", json -> {
            json.writeNumberField("epoch", leader.epoch());
            writeIfPresent(json, "remainingMs", remainingMs);
        });
    }

    /** Logs that a raise of the lease limit without an answer has taken effect. */
    void leaseLimitReadBack(LeaderRecord leader, OptionalLong remainingMs) {
        writeLine("lease-limit-read-back", json -> {
            json.writeNumberField("epoch", leader.epoch());
            writeIfPresent(json, "remainingMs", remainingMs);
        });
    }

    /**
     * Logs that the leases of all runners will soon end, because the store has not raised the limit.
     *
     * @param remainingMs time until it, in milliseconds; empty if it is unknown
     * @param ageMs time since the write was sent that stored it, in milliseconds; empty if this leader has stored none
     * @param failedRaises number of attempts to raise it since then that failed
     * @param lastFailure what became of the last one, empty if none failed
     */
    void leaseLimitRunsOut(
            LeaderRecord leader, OptionalLong remainingMs, OptionalLong ageMs, int failedRaises, String lastFailure) {
        writeLine("lease-limit-runs-out", json -> {
            json.writeNumberField("epoch", leader.epoch());
            writeIfPresent(json, "remainingMs", remainingMs);
            writeIfPresent(json, "ageMs", ageMs);
            json.writeNumberField("failedRaises", failedRaises);
            json.writeStringField("lastFailure", lastFailure);
        });
    }

    void leaderState(LeaderState state) {
        writeLine("leader-state", json -> {
            json.writeNumberField("epoch", state.epoch());
            json.writeNumberField("ledMs", state.ledMs());
            json.writeNumberField("openJobs", state.openJobs());
            json.writeNumberField("heldJobs", state.heldJobs());
            json.writeNumberField("waitingTasks", state.readyTasks());
            json.writeNumberField("heldTasks", state.heldTasks());
            json.writeNumberField("unheardRunners", state.unreportedRunners());
            json.writeNumberField("silentRunners", state.silentRunners());
            json.writeNumberField("unansweredStarts", state.unansweredStarts());
            json.writeNumberField("loopDelayMs", state.loopDelayMs());
            json.writeNumberField("storeAgeMs", state.storeAgeMs());
            json.writeNumberField("directoryAgeMs", state.directoryAgeMs());
            writeIfPresent(json, "leaseLimitMs", state.leaseLimitMs());
            writeIfPresent(json, "leaseLimitAgeMs", state.leaseLimitAgeMs());
            json.writeNumberField("unansweredWritesMs", state.unansweredWritesMs());
            json.writeNumberField("waitingLongRunningTasks", state.waitingLongRunningTasks());
        });
    }

    /** Logs that a job is no longer held. */
    void heldJobReleased(String job, String reason) {
        writeLine("job-released", json -> {
            json.writeStringField("job", job);
            json.writeStringField("reason", reason);
        });
    }

    /**
     * Logs that the store rejected a change, which is tried again after a delay and meanwhile kept out of the
     * transactions.
     */
    void changeIsolated(String change, String cause, int rejections, long retryMs) {
        writeLine("change-isolated", json -> {
            json.writeStringField("change", change);
            json.writeStringField("cause", cause);
            json.writeNumberField("rejections", rejections);
            json.writeNumberField("retryMs", retryMs);
        });
    }

    /** Logs that a change which the store had rejected is stored. */
    void isolatedChangeStored(String change) {
        writeLine("isolated-change-stored", json -> json.writeStringField("change", change));
    }

    /** Logs that a read of the store is repeated on a new connection, because it has had no response for some time. */
    void readRepeated(String subject, long waitedMs) {
        writeLine("read-repeated", json -> {
            json.writeStringField("read", subject);
            json.writeNumberField("waitedMs", waitedMs);
        });
    }

    /** Logs that a transaction about a leader record is sent again, because it has had no answer for some time. */
    void repeated(String event, LeaderRecord record, long waitedMs) {
        writeLine(event, json -> {
            json.writeNumberField("epoch", record.epoch());
            json.writeStringField("leader", record.node());
            json.writeNumberField("waitedMs", waitedMs);
        });
    }

    void storeState(String event, String cause) {
        writeLine(event, json -> json.writeStringField("cause", cause));
    }

    /**
     * Logs that a configuration is in force.
     *
     * @param previousAgeMs time for which the one before may have been outdated
     */
    void configuration(long version, int queues, long previousAgeMs) {
        writeLine("configuration", json -> {
            json.writeNumberField("configurationVersion", version);
            json.writeNumberField("queues", queues);
            json.writeNumberField("previousAgeMs", previousAgeMs);
        });
    }

    void skippedRecord(String key, String reason) {
        writeLine("record-skipped", json -> {
            json.writeStringField("key", key);
            json.writeStringField("reason", reason);
        });
    }
}
