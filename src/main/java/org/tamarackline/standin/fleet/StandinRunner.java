package org.tamarackline.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for one process of a runner of the platform. Checks fences, leases and run numbers like the platform's
 * runners. The work of a task follows from the job's {@code spec}: {@link StandinFleet#LONG_RUNNING_SPEC}, {@link
 * StandinFleet#TIMED_SPEC_PREFIX} and
 * a number of milliseconds, or any other text for the default time.
 */
final class StandinRunner {

    private static final long MAX_LEASE_MS = 6_000;

    private record StandinRun(String task, long number, long startedMs, long durationMs) {}

    private record EndedStandinRun(long endNumber, String task, long number, String reason) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final String id;
    private final long defaultTaskMs;
    private final double clockRate;
    private final RunObserver observer;
    private final long startNanos = System.nanoTime();
    private final long bornEpochMs = System.currentTimeMillis();
    private final Map<String, StandinRun> activeRuns = new HashMap<>();
    private final Map<String, Long> highestRunNumbers = new HashMap<>();
    private final List<EndedStandinRun> endedRuns = new ArrayList<>();
    private final List<String> startedTasks = new ArrayList<>();
    private long highestFence;
    private long leaseEndMs;
    private long lastEndNumber;

    /** Sequence number of the last end before the latest expiry of the lease. */
    private long lastEndBeforeExpiry;

    private boolean processEnded;

    /**
     * Starts a process.
     *
     * @param defaultTaskMs duration of tasks whose spec states none, in milliseconds
     * @param clockRate speed of the process's clock, 1 if it is exact
     */
    StandinRunner(String id, long defaultTaskMs, double clockRate, RunObserver observer) {
        this.id = id;
        this.defaultTaskMs = defaultTaskMs;
        this.clockRate = clockRate;
        this.observer = observer;
    }

    String id() {
        return id;
    }

    long bornEpochMs() {
        return bornEpochMs;
    }

    /** Returns the tasks in the order in which they were started. */
    synchronized List<String> startedTasks() {
        return List.copyOf(startedTasks);
    }

    private long clockMs() {
        return (long) ((System.nanoTime() - startNanos) * clockRate) / 1_000_000 + 1;
    }

    /** Returns when the process's clock shows a time, in the terms of {@link System#nanoTime}. */
    private long nanosAt(long clockMs) {
        return startNanos + (long) ((clockMs - 1) * 1_000_000 / clockRate);
    }

    private ObjectNode newResponse() {
        return mapper.createObjectNode().put("clockMs", clockMs()).put("born", bornEpochMs);
    }

    /** Extends the lease, or returns a response with a reason if the command's fence is too low. */
    private ObjectNode checkFence(JsonNode command) {
        advance();
        if (command.path("fence").asLong() < highestFence) {
            return newResponse().put("reason", "fence");
        }
        highestFence = command.path("fence").asLong();
        leaseEndMs = Math.max(leaseEndMs, Math.min(command.path("untilMs").asLong(), clockMs() + MAX_LEASE_MS));
        return null;
    }

    synchronized ObjectNode start(JsonNode command) {
        ObjectNode refusal = checkFence(command);
        if (refusal != null) {
            return refusal;
        }
        String task = command.path("task").asText();
        long runNumber = command.path("run").asLong();
        if (activeRuns.containsKey(task) && activeRuns.get(task).number() == runNumber) {
            return newResponse();
        }
        if (runNumber <= highestRunNumbers.getOrDefault(task, 0L)) {
            return newResponse().put("reason", "old");
        }
        if (leaseEndMs <= clockMs() || processEnded) {
            return newResponse().put("reason", "late");
        }
        highestRunNumbers.put(task, runNumber);
        long durationMs = durationMs(command.path("spec").asText());
        activeRuns.put(task, new StandinRun(task, runNumber, clockMs(), durationMs));
        startedTasks.add(task);
        observer.runStarted(id, task, runNumber, System.nanoTime());
        return newResponse();
    }

    private long durationMs(String spec) {
        if (spec.equals(StandinFleet.LONG_RUNNING_SPEC)) {
            return Long.MAX_VALUE;
        }
        return spec.startsWith(StandinFleet.TIMED_SPEC_PREFIX)
                ? Long.parseLong(spec.substring(StandinFleet.TIMED_SPEC_PREFIX.length()))
                : defaultTaskMs;
    }

    synchronized ObjectNode stop(JsonNode command) {
        ObjectNode refusal = checkFence(command);
        if (refusal != null) {
            return refusal;
        }
        String task = command.path("task").asText();
        long runNumber = command.path("run").asLong();
        highestRunNumbers.merge(task, runNumber, Math::max);
        if (activeRuns.containsKey(task) && activeRuns.get(task).number() == runNumber) {
            end(activeRuns.get(task), "stopped", System.nanoTime());
        }
        return newResponse();
    }

    synchronized ObjectNode poll(JsonNode request) throws InterruptedException {
        ObjectNode refusal = checkFence(request);
        if (refusal != null) {
            return refusal;
        }
        acknowledgeEnds(request.path("lastSeen").asLong());
        long endNanos = System.nanoTime() + request.path("waitMs").asLong() * 1_000_000;
        while (endedRuns.isEmpty() && !processEnded && System.nanoTime() - endNanos < 0) {
            wait(5);
            advance();
        }
        return status();
    }

    private void acknowledgeEnds(long lastSeen) {
        for (EndedStandinRun end : List.copyOf(endedRuns)) {
            if (end.endNumber() <= lastSeen) {
                endedRuns.remove(end);
                if (end.endNumber() > lastEndBeforeExpiry) {
                    observer.endAcknowledged(id, end.task(), end.number());
                }
            }
        }
    }

    private ObjectNode status() {
        ObjectNode response = newResponse();
        ArrayNode activeArray = response.putArray("running");
        for (StandinRun run : activeRuns.values()) {
            long percent = 100 * (clockMs() - run.startedMs()) / Math.max(1, run.durationMs());
            activeArray.addArray().add(run.task()).add(run.number()).add("").add(Math.min(99, percent));
        }
        ArrayNode endedArray = response.putArray("ended");
        for (EndedStandinRun end : endedRuns) {
            endedArray
                    .addArray()
                    .add(end.endNumber())
                    .add(end.task())
                    .add(end.number())
                    .add(end.reason())
                    .add("");
        }
        return response;
    }

    /** Ends the runs whose work is done or whose lease has expired. */
    synchronized void advance() {
        boolean expired = clockMs() > leaseEndMs;
        for (StandinRun run : List.copyOf(activeRuns.values())) {
            if (clockMs() - run.startedMs() >= run.durationMs()) {
                end(run, "done", nanosAt(run.startedMs() + run.durationMs()));
            } else if (expired) {
                end(run, "lapsed", nanosAt(leaseEndMs));
            }
        }
        if (expired) {
            lastEndBeforeExpiry = lastEndNumber;
        }
    }

    /** Ends the process, and with it all runs. */
    synchronized void endProcess() {
        advance();
        processEnded = true;
        List.copyOf(activeRuns.values()).forEach(run -> end(run, "process ended", System.nanoTime()));
        notifyAll();
    }

    private void end(StandinRun run, String reason, long nanos) {
        activeRuns.remove(run.task());
        endedRuns.add(new EndedStandinRun(++lastEndNumber, run.task(), run.number(), reason));
        observer.runEnded(id, run.task(), run.number(), reason, nanos);
    }
}
