package org.tamarackline.standin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A runner whose tasks take a fixed time; checks fences, leases and run numbers as the platform's runners do. */
final class StandinRunner {

    private static final long LONGEST_LEASE_MS = 6_000;

    private record Running(String task, long run, long startedMs) {}

    private record Ended(long number, String task, long run, String how) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final String id;
    private final long taskMs;
    private final long startNanos = System.nanoTime();
    private final long bornEpochMs = System.currentTimeMillis();
    private final Map<String, Running> running = new HashMap<>();
    private final Map<String, Long> lastRuns = new HashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final List<String> history = new ArrayList<>();
    private long fence;
    private long leaseUntilMs;
    private long ends;

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

    /** Returns the tasks that were started, in order. */
    synchronized List<String> history() {
        return List.copyOf(history);
    }

    private long clockMs() {
        return (System.nanoTime() - startNanos) / 1_000_000 + 1;
    }

    private ObjectNode newResponse() {
        return mapper.createObjectNode().put("clockMs", clockMs()).put("born", bornEpochMs);
    }

    /** Returns an answer with a reason if the order has too low a fence. */
    private ObjectNode fenced(JsonNode order) {
        advance();
        if (order.path("fence").asLong() < fence) {
            return newResponse().put("reason", "fence");
        }
        fence = order.path("fence").asLong();
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(order.path("untilMs").asLong(), clockMs() + LONGEST_LEASE_MS));
        return null;
    }

    synchronized ObjectNode start(JsonNode order) {
        ObjectNode refusal = fenced(order);
        if (refusal != null) {
            return refusal;
        }
        String task = order.path("task").asText();
        long run = order.path("run").asLong();
        if (running.containsKey(task) && running.get(task).run() == run) {
            return newResponse();
        }
        if (run <= lastRuns.getOrDefault(task, 0L)) {
            return newResponse().put("reason", "old");
        }
        lastRuns.put(task, run);
        running.put(task, new Running(task, run, clockMs()));
        history.add(task);
        return newResponse();
    }

    synchronized ObjectNode stop(JsonNode order) {
        ObjectNode refusal = fenced(order);
        if (refusal != null) {
            return refusal;
        }
        String task = order.path("task").asText();
        long run = order.path("run").asLong();
        lastRuns.merge(task, run, Math::max);
        if (running.containsKey(task) && running.get(task).run() == run) {
            end(running.get(task), "stopped");
        }
        return newResponse();
    }

    synchronized ObjectNode hold(JsonNode order) throws InterruptedException {
        ObjectNode refusal = fenced(order);
        if (refusal != null) {
            return refusal;
        }
        ended.removeIf(end -> end.number() <= order.path("lastSeen").asLong());
        long endNanos = System.nanoTime() + order.path("waitMs").asLong() * 1_000_000;
        while (ended.isEmpty() && System.nanoTime() - endNanos < 0) {
            wait(5);
            advance();
        }
        return listing();
    }

    private ObjectNode listing() {
        ObjectNode response = newResponse();
        ArrayNode runningRows = response.putArray("running");
        for (Running run : running.values()) {
            long percent = 100 * (clockMs() - run.startedMs()) / Math.max(1, taskMs);
            runningRows.addArray().add(run.task()).add(run.run()).add("").add(Math.min(99, percent));
        }
        ArrayNode endedRows = response.putArray("ended");
        for (Ended end : ended) {
            endedRows
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.run())
                    .add(end.how())
                    .add("");
        }
        return response;
    }

    private void advance() {
        boolean expired = clockMs() > leaseUntilMs;
        for (Running run : List.copyOf(running.values())) {
            if (clockMs() - run.startedMs() >= taskMs) {
                end(run, "done");
            } else if (expired) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Running run, String how) {
        running.remove(run.task());
        ended.add(new Ended(++ends, run.task(), run.run(), how));
    }
}
