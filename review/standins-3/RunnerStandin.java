import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/**
 * A runner that guards its capacity. Its identifier and address outlast a crash; the rest of its state belongs to one
 * life, as PROTOCOL.md says.
 */
final class RunnerStandin {

    private static final long HEARTBEAT_MS = 1_500;
    private static final long MAX_HOLD_MS = 6_000;
    private static final long STOP_MS = 20;
    private static final int ENDS_PER_ANSWER = 500;

    /** A run of a task that this runner has begun, for the check at the end of a case. */
    static final class RunInterval {
        final String runner;
        final long born;
        final String task;
        final long run;
        final long startMs;
        volatile long endMs = Long.MAX_VALUE;
        volatile String how = "";
        /** When a call with a lastSeen that reaches the end was carried out; -1 if none was. */
        volatile long notedMs = -1;

        RunInterval(String runner, long born, String task, long run, long startMs) {
            this.runner = runner;
            this.born = born;
            this.task = task;
            this.run = run;
            this.startMs = startMs;
        }
    }

    /** Which orders are carried out late, and when. */
    interface LateOrders {
        /** Returns after how many milliseconds an order is carried out, without an answer; 0 for at once. */
        long delayMs(RunnerStandin runner, String path, JsonNode order);

        /** Returns whether a late order whose delay is over waits further, for the moment that the case is about. */
        default boolean waitsFurther(RunnerStandin runner) {
            return false;
        }
    }

    private record End(long number, RunInterval interval) {}

    private static final long LATE_ORDER_CHECK_MS = 1;

    private final String id;
    private final String host;
    private final StoreStandin store;
    private final CaseRecord record;
    private final List<RunInterval> allRuns;
    private final LateOrders lateOrders;
    private final Predicate<String> longRunning;
    private final ToLongFunction<String> taskMs;
    private final int cpu;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });
    private StandinHttpServer server;
    private int port;
    private boolean up;
    private long sequence;

    // State of one life.
    private long born;
    private long clockStartNanos;
    private long fence;
    private long untilMs;
    private long lastEnd;
    private final Map<String, RunInterval> running = new LinkedHashMap<>();
    private final Map<String, Integer> cpuOfTask = new HashMap<>();
    private final List<End> ended = new ArrayList<>();
    private long lastToldEnd;
    private int waitingHolds;
    private final Map<String, Long> highestOver = new HashMap<>();

    /**
     * Creates a runner.
     *
     * @param allRuns receives each run that begins
     * @param taskMs duration of each task that does not last, in milliseconds
     */
    RunnerStandin(
            String id,
            String host,
            StoreStandin store,
            CaseRecord record,
            List<RunInterval> allRuns,
            LateOrders lateOrders,
            Predicate<String> longRunning,
            ToLongFunction<String> taskMs,
            int cpu) {
        this.id = id;
        this.host = host;
        this.store = store;
        this.record = record;
        this.allRuns = allRuns;
        this.lateOrders = lateOrders;
        this.longRunning = longRunning;
        this.taskMs = taskMs;
        this.cpu = cpu;
        timer.scheduleAtFixedRate(this::heartbeat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::expireLease, 20, 20, TimeUnit.MILLISECONDS);
    }

    String id() {
        return id;
    }

    synchronized long born() {
        return born;
    }

    /** Returns whether a run has ended of which no answer has told yet, with no hold waiting for it. */
    synchronized boolean hasUntoldEnds() {
        return up && waitingHolds == 0 && lastEnd > lastToldEnd;
    }

    synchronized void start() throws IOException {
        born = System.currentTimeMillis();
        clockStartNanos = System.nanoTime();
        fence = 0;
        untilMs = 0;
        lastEnd = 0;
        lastToldEnd = 0;
        running.clear();
        ended.clear();
        highestOver.clear();
        sequence = 0;
        server = new StandinHttpServer(host, port, this::handle);
        port = server.port();
        up = true;
        record.write("runner " + id + " starts, born " + born);
        heartbeat();
    }

    /** Ends the process: all that it runs ends, and it says nothing any more. */
    synchronized void crash() {
        up = false;
        for (RunInterval interval : running.values()) {
            interval.how = "crashed";
            interval.endMs = record.nowMs();
        }
        running.clear();
        server.stop();
        record.write("runner " + id + " crashes");
    }

    /** Stops the runner's threads at the end of a case. */
    synchronized void close() {
        timer.shutdownNow();
        if (up) {
            up = false;
            server.stop();
        }
    }

    private synchronized void heartbeat() {
        if (!up) {
            return;
        }
        ObjectNode entry = StandinHttpServer.JSON.createObjectNode();
        entry.put("service", "work").put("address", host + ":" + port).put("zone", "a").put("version", "v1");
        entry.put("slots", 8).put("state", "ready").put("coldLeftMs", 0).put("born", born);
        entry.putObject("capacity").put("cpu", cpu).put("memMb", 64_000).put("gpu", 0);
        entry.putArray("labels").add("a").add("r1-1");
        entry.put("clockMs", clockMs()).put("sequence", ++sequence);
        store.write("servers", id, entry.toString());
    }

    private long clockMs() {
        return (System.nanoTime() - clockStartNanos) / 1_000_000;
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode order = StandinHttpServer.read(exchange);
        String path = exchange.getRequestURI().getPath();
        if (!id.equals(exchange.getRequestHeaders().getFirst("Expect-Instance"))) {
            StandinHttpServer.respond(exchange, 421, null);
            return;
        }
        long delayMs = lateOrders.delayMs(this, path, order);
        if (delayMs > 0) {
            record.write("runner " + id + " leaves " + path + " unanswered, carried out in " + delayMs + " ms: " + order);
            timer.schedule(() -> carryOutLate(path, order), delayMs, TimeUnit.MILLISECONDS);
            return;
        }
        ObjectNode answer = StandinHttpServer.JSON.createObjectNode();
        try {
            int status = carryOut(path, order, answer);
            StandinHttpServer.respond(exchange, status, answer);
        } catch (InterruptedException stopped) {
            exchange.close();
        }
    }

    private void carryOutLate(String path, JsonNode order) {
        ObjectNode answer = StandinHttpServer.JSON.createObjectNode();
        try {
            synchronized (this) {
                if (!up) {
                    record.write("runner " + id + " is down, late " + path + " is lost");
                    return;
                }
            }
            int status;
            synchronized (this) {
                if (lateOrders.waitsFurther(this)) {
                    timer.schedule(() -> carryOutLate(path, order), LATE_ORDER_CHECK_MS, TimeUnit.MILLISECONDS);
                    return;
                }
                status = carryOut(path, order, answer);
            }
            record.write("runner " + id + " carried out late " + path + ": " + status + " " + answer);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int carryOut(String path, JsonNode order, ObjectNode answer) throws InterruptedException {
        long orderFence = order.path("fence").asLong();
        if (orderFence < fence) {
            return refuse(answer, "fence");
        }
        fence = orderFence;
        int status = switch (path) {
            case "/-/run-start" -> start(order, answer);
            case "/-/run-stop" -> stop(order);
            case "/-/hold" -> hold(order, answer);
            case "/-/pace" -> 200;
            default -> 400;
        };
        answer.put("clockMs", clockMs()).put("born", born);
        return status;
    }

    private int refuse(ObjectNode answer, String reason) {
        answer.put("clockMs", clockMs()).put("born", born).put("reason", reason);
        return 409;
    }

    private void extend(JsonNode order) {
        untilMs = Math.max(untilMs, Math.min(order.path("untilMs").asLong(), clockMs() + MAX_HOLD_MS));
    }

    private int start(JsonNode order, ObjectNode answer) {
        String task = order.path("task").asText();
        long run = order.path("run").asLong();
        if (order.path("untilMs").asLong() <= clockMs()) {
            return refuse(answer, "late");
        }
        extend(order);
        if (run <= highestOver.getOrDefault(task, 0L)) {
            return refuse(answer, "old");
        }
        RunInterval present = running.get(task);
        if (present != null) {
            return present.run == run ? 200 : refuse(answer, "old");
        }
        int used = running.keySet().stream().mapToInt(each -> cpuOfTask.getOrDefault(each, 0)).sum();
        int needed = CaseJobs.cpuOf(task);
        if (used + needed > cpu) {
            return refuse(answer, "room");
        }
        cpuOfTask.put(task, needed);
        RunInterval interval = new RunInterval(id, born, task, run, record.nowMs());
        running.put(task, interval);
        allRuns.add(interval);
        record.write("runner " + id + " born " + born + " begins " + task + " run " + run);
        if (!longRunning.test(task)) {
            timer.schedule(() -> end(interval, "done"), taskMs.applyAsLong(task), TimeUnit.MILLISECONDS);
        }
        return 200;
    }

    private synchronized void end(RunInterval interval, String how) {
        if (running.get(interval.task) != interval) {
            return;
        }
        running.remove(interval.task);
        interval.how = how;
        interval.endMs = record.nowMs();
        highestOver.merge(interval.task, interval.run, Math::max);
        ended.add(new End(++lastEnd, interval));
        record.write("runner " + id + " ends " + interval.task + " run " + interval.run + " " + how + " number " + lastEnd);
        notifyAll();
    }

    private int stop(JsonNode order) {
        String task = order.path("task").asText();
        long run = order.path("run").asLong();
        highestOver.merge(task, run, Math::max);
        RunInterval interval = running.get(task);
        record.write("runner " + id + " stops " + task + " run " + run + (interval == null ? ", not there" : ""));
        if (interval != null && interval.run <= run) {
            timer.schedule(() -> end(interval, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
        }
        return 200;
    }

    private int hold(JsonNode order, ObjectNode answer) throws InterruptedException {
        long lastSeen = order.path("lastSeen").asLong();
        for (End end : ended) {
            if (end.number() <= lastSeen && end.interval().notedMs < 0) {
                end.interval().notedMs = record.nowMs();
            }
        }
        ended.removeIf(end -> end.number() <= lastSeen);
        extend(order);
        long bornBefore = born;
        long endBefore = lastEnd;
        long waitEndNanos = System.nanoTime() + order.path("waitMs").asLong() * 1_000_000;
        while (ended.isEmpty() && lastEnd == endBefore && born == bornBefore) {
            long leftMs = (waitEndNanos - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                break;
            }
            waitingHolds++;
            try {
                wait(leftMs);
            } finally {
                waitingHolds--;
            }
        }
        ended.stream().limit(ENDS_PER_ANSWER).forEach(end -> lastToldEnd = Math.max(lastToldEnd, end.number()));
        ArrayNode active = answer.putArray("running");
        running.values().forEach(interval -> active.addArray()
                .add(interval.task)
                .add(interval.run)
                .add("")
                .add(percent(interval)));
        ArrayNode ends = answer.putArray("ended");
        ended.stream().limit(ENDS_PER_ANSWER).forEach(end -> ends.addArray()
                .add(end.number())
                .add(end.interval().task)
                .add(end.interval().run)
                .add(end.interval().how)
                .add(""));
        return 200;
    }

    private long percent(RunInterval interval) {
        return longRunning.test(interval.task) ? 100 : Math.min(99, 100 * (record.nowMs() - interval.startMs) / taskMs.applyAsLong(interval.task));
    }

    private synchronized void expireLease() {
        if (up && !running.isEmpty() && clockMs() > untilMs) {
            List.copyOf(running.values()).forEach(interval -> end(interval, "lapsed"));
        }
    }
}
