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
 * Stand-in for a runner of the platform, whose tasks take a fixed time. Checks fences, leases and run numbers like the
 * platform's runners.
 */
final class StandinRunner {

    private static final long MAX_LEASE_MS = 6_000;

    private record StandinRun(String task, long number, long startedMs) {}

    private record EndedStandinRun(long endNumber, String task, long number, String reason) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final String id;
    private final long taskMs;
    private final long startNanos = System.nanoTime();
    private final long bornEpochMs = System.currentTimeMillis();
    private final Map<String, StandinRun> activeRuns = new HashMap<>();
    private final Map<String, Long> highestRunNumbers = new HashMap<>();
    private final List<EndedStandinRun> endedRuns = new ArrayList<>();
    private final List<String> startedTasks = new ArrayList<>();
    private long highestFence;
    private long leaseEndMs;
    private long lastEndNumber;

    StandinRunner(String id, long taskMs) {
        this.id = id;
        this.taskMs = taskMs;
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
        return (System.nanoTime() - startNanos) / 1_000_000 + 1;
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
        highestRunNumbers.put(task, runNumber);
        activeRuns.put(task, new StandinRun(task, runNumber, clockMs()));
        startedTasks.add(task);
        return newResponse();
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
            end(activeRuns.get(task), "stopped");
        }
        return newResponse();
    }

    synchronized ObjectNode poll(JsonNode request) throws InterruptedException {
        ObjectNode refusal = checkFence(request);
        if (refusal != null) {
            return refusal;
        }
        endedRuns.removeIf(end -> end.endNumber() <= request.path("lastSeen").asLong());
        long endNanos = System.nanoTime() + request.path("waitMs").asLong() * 1_000_000;
        while (endedRuns.isEmpty() && System.nanoTime() - endNanos < 0) {
            wait(5);
            advance();
        }
        return status();
    }

    private ObjectNode status() {
        ObjectNode response = newResponse();
        ArrayNode activeArray = response.putArray("running");
        for (StandinRun run : activeRuns.values()) {
            long percent = 100 * (clockMs() - run.startedMs()) / Math.max(1, taskMs);
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

    private void advance() {
        boolean expired = clockMs() > leaseEndMs;
        for (StandinRun run : List.copyOf(activeRuns.values())) {
            if (clockMs() - run.startedMs() >= taskMs) {
                end(run, "done");
            } else if (expired) {
                end(run, "lapsed");
            }
        }
    }

    private void end(StandinRun run, String reason) {
        activeRuns.remove(run.task());
        endedRuns.add(new EndedStandinRun(++lastEndNumber, run.task(), run.number(), reason));
    }
}
