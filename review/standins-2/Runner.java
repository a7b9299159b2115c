import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a runner: its address and id stay, and each start of its process is a new life. All runners share one lock,
 * because the members of a gang begin and end together.
 */
final class Runner {

    /** Sees what happens on the runners. Called with the lock held. */
    interface Observer {
        void started(Runner runner, Run run);

        /** A run is over; {@code how} is also "crash". */
        void ended(Runner runner, Run run, String how);

        /** An end is taken note of. */
        void noted(Runner runner, Run run, String how);
    }

    /** What a life of the runner is. */
    record Kind(String label, int cpu, int memMb, boolean guards) {}

    /** A run of a task. */
    static final class Run {
        String task;
        long number;
        String spec;
        String startCheckpoint;
        String checkpoint = "";
        Jobs.Step step;
        long arrivedMs;
        /** When the work began, -1 while a gang waits. */
        long beganMs = -1;
        long stopAtMs = -1;
        long failsAtMs = -1;
        boolean lapsedSinceEnd;
    }

    private record Ended(long number, Run run, String how) {}

    static final int HEARTBEAT_MS = 1_500;
    private static final int HOLD_MAX_MS = 6_000;
    private static final int GANG_MS = 3_000;
    private static final int STOP_MS = 180;
    private static final int FAILS_AFTER_MS = 200;
    private static final Object LOCK = new Object();
    private static final List<Runner> ALL = new ArrayList<>();

    final String id;
    final String host;
    final int port;
    final String rack;
    private final Store store;
    private final Jobs jobs;
    private final Observer observer;
    private final ObjectMapper mapper = new ObjectMapper();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());

    private Web web;
    private Kind kind;
    private long life;
    private long bornMs;
    private long bornNanos;
    private long fence;
    private long leaseEndMs;
    private long lastEnd;
    private long sequence;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<Ended> ended = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();

    Runner(String id, String host, int port, String rack, Store store, Jobs jobs, Observer observer) {
        this.id = id;
        this.host = host;
        this.port = port;
        this.rack = rack;
        this.store = store;
        this.jobs = jobs;
        this.observer = observer;
        ALL.add(this);
        timer.scheduleAtFixedRate(this::beat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::advance, 10, 10, TimeUnit.MILLISECONDS);
    }

    Kind kind() {
        synchronized (LOCK) {
            return kind;
        }
    }

    long life() {
        synchronized (LOCK) {
            return life;
        }
    }

    boolean up() {
        synchronized (LOCK) {
            return web != null;
        }
    }

    /** Returns the runs that are not over. Called with the lock held. */
    Iterable<Run> runs() {
        return running.values();
    }

    int usedCpu() {
        return running.values().stream().mapToInt(run -> run.step.cpu).sum();
    }

    /** Starts a life: it reports itself to the store, and only then accepts orders. */
    void start(Kind next) throws IOException {
        synchronized (LOCK) {
            kind = next;
            life++;
            bornMs = System.currentTimeMillis();
            bornNanos = System.nanoTime();
            fence = 0;
            leaseEndMs = 0;
            lastEnd = 0;
            sequence = 0;
            running.clear();
            ended.clear();
            highestEnded.clear();
            report();
            web = new Web(host, port, this::handle);
        }
    }

    /** Ends the process at once; what ran is gone. */
    void crash() {
        Web closing;
        synchronized (LOCK) {
            closing = web;
            web = null;
            for (Run run : List.copyOf(running.values())) {
                running.remove(run.task);
                observer.ended(this, run, "crash");
                breakGang(run);
            }
            LOCK.notifyAll();
        }
        if (closing != null) {
            closing.close();
        }
    }

    private void beat() {
        synchronized (LOCK) {
            if (web != null) {
                report();
            }
        }
    }

    private void report() {
        ObjectNode entry = mapper.createObjectNode();
        entry.put("service", "dispatch").put("address", host + ":" + port).put("zone", "a").put("version", "1");
        entry.put("slots", 8).put("state", "ready").put("coldLeftMs", 0).put("sequence", ++sequence).put("born", bornMs);
        entry.putObject("capacity").put("cpu", kind.cpu()).put("memMb", kind.memMb()).put("gpu", 0);
        entry.putArray("labels").add(kind.label()).add(rack);
        store.write("servers", id, entry.toString().getBytes(StandardCharsets.UTF_8));
    }

    private long clockMs() {
        return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void advance() {
        synchronized (LOCK) {
            if (web == null) {
                return;
            }
            long now = clockMs();
            boolean lapsed = now >= leaseEndMs;
            if (lapsed) {
                ended.forEach(end -> end.run().lapsedSinceEnd = true);
            }
            for (Run run : List.copyOf(running.values())) {
                if (running.get(run.task) != run) {
                    continue;
                }
                if (lapsed) {
                    end(run, "lapsed");
                } else if (run.stopAtMs >= 0 && now >= run.stopAtMs) {
                    end(run, "stopped");
                } else if (run.beganMs < 0) {
                    if (now - run.arrivedMs >= GANG_MS) {
                        end(run, "alone");
                    }
                } else if (run.failsAtMs >= 0 && now >= run.failsAtMs) {
                    end(run, "failed");
                } else if (!run.step.longRunning && now - run.beganMs >= run.step.workMs
                        && (!run.step.gang || run.task.endsWith(".0"))) {
                    // The end of a gang is decided by its first member.
                    boolean fails = run.task.endsWith(".0") && failedBefore(run.task) < run.step.failures;
                    if (fails) {
                        FAILED.merge(run.task, 1, Integer::sum);
                    }
                    end(run, fails ? "failed" : "done");
                } else if (run.step.checkpointed && now - run.beganMs >= 1_000) {
                    run.checkpoint = run.task + "/" + run.number + "/" + (now - run.beganMs) / 1_000;
                }
            }
        }
    }

    private static final Map<String, Integer> FAILED = new HashMap<>();

    /** While set, the runner fails all that it starts, soon after the start; it seems healthy otherwise. */
    private boolean failing;

    void setFailing(boolean value) {
        synchronized (LOCK) {
            failing = value;
        }
    }

    private static int failedBefore(String task) {
        return FAILED.getOrDefault(task, 0);
    }

    private void end(Run run, String how) {
        if (running.get(run.task) != run) {
            return;
        }
        running.remove(run.task);
        highestEnded.merge(run.task, run.number, Math::max);
        if (how.equals("stopped") && run.step.checkpointed && run.beganMs >= 0) {
            run.checkpoint = run.task + "/" + run.number + "/stop";
        }
        ended.add(new Ended(++lastEnd, run, how));
        observer.ended(this, run, how);
        LOCK.notifyAll();
        if (run.step.gang) {
            if (how.equals("done")) {
                for (Runner runner : ALL) {
                    for (Run member : List.copyOf(runner.running.values())) {
                        if (sameGang(run, member)) {
                            runner.end(member, "done");
                        }
                    }
                }
            } else if (!how.equals("broken") && !how.equals("alone")) {
                breakGang(run);
            }
        }
    }

    private void breakGang(Run run) {
        if (!run.step.gang || run.beganMs < 0) {
            return;
        }
        for (Runner runner : ALL) {
            for (Run member : List.copyOf(runner.running.values())) {
                if (sameGang(run, member)) {
                    runner.end(member, "broken");
                }
            }
        }
    }

    private static boolean sameGang(Run one, Run other) {
        return one != other && one.number == other.number && Jobs.stepName(one.task).equals(Jobs.stepName(other.task));
    }

    private static void beginGangIfPresent(Run last) {
        List<Run> present = new ArrayList<>();
        for (Runner runner : ALL) {
            for (Run member : runner.running.values()) {
                if (member == last || sameGang(last, member)) {
                    present.add(member);
                }
            }
        }
        if (present.size() == last.step.count) {
            for (Runner runner : ALL) {
                for (Run member : runner.running.values()) {
                    if (present.contains(member)) {
                        member.beganMs = runner.clockMs();
                    }
                }
            }
        }
    }

    private Web.Reply handle(Web.Call call) throws Exception {
        JsonNode order = mapper.readTree(call.body());
        synchronized (LOCK) {
            if (web == null) {
                return null;
            }
            if (!id.equals(call.headers().get("expect-instance"))) {
                return Web.Reply.of(421, "{}");
            }
            if (order.path("fence").asLong(0) < fence) {
                return reply(409, "fence");
            }
            fence = order.path("fence").asLong(0);
            return switch (call.path()) {
                case "/-/run-start" -> startRun(order);
                case "/-/run-stop" -> stopRun(order);
                case "/-/pace" -> reply(200, null);
                case "/-/hold" -> hold(order);
                default -> Web.Reply.of(404, "{}");
            };
        }
    }

    private Web.Reply reply(int status, String reason) {
        ObjectNode answer = mapper.createObjectNode().put("clockMs", clockMs()).put("born", bornMs);
        if (reason != null) {
            answer.put("reason", reason);
        }
        return Web.Reply.of(status, answer.toString());
    }

    private void extend(JsonNode order) {
        if (order.has("untilMs")) {
            leaseEndMs = Math.max(leaseEndMs, Math.min(order.path("untilMs").asLong(), clockMs() + HOLD_MAX_MS));
        }
    }

    private Web.Reply startRun(JsonNode order) {
        String task = order.path("task").asText();
        long number = order.path("run").asLong();
        Run present = running.get(task);
        if (present != null && present.number == number) {
            extend(order);
            return reply(200, null);
        }
        if (order.path("untilMs").asLong() <= clockMs()) {
            return reply(409, "late");
        }
        if (number <= highestEnded.getOrDefault(task, 0L) || (present != null && present.number > number)) {
            extend(order);
            return reply(409, "old");
        }
        Jobs.Step step = jobs.stepOf(task);
        if (step == null) {
            return reply(400, null);
        }
        if (kind.guards() && usedCpu() + step.cpu > kind.cpu()) {
            extend(order);
            return reply(409, "room");
        }
        Run run = new Run();
        run.task = task;
        run.number = number;
        run.spec = order.path("spec").asText();
        run.startCheckpoint = order.path("checkpoint").asText("");
        run.checkpoint = run.startCheckpoint;
        run.step = step;
        run.arrivedMs = clockMs();
        run.failsAtMs = failing ? run.arrivedMs + FAILS_AFTER_MS : -1;
        running.put(task, run);
        extend(order);
        observer.started(this, run);
        if (step.gang) {
            beginGangIfPresent(run);
        } else {
            run.beganMs = clockMs();
        }
        return reply(200, null);
    }

    private Web.Reply stopRun(JsonNode order) {
        String task = order.path("task").asText();
        long number = order.path("run").asLong();
        Run run = running.get(task);
        if (run != null && run.number == number) {
            run.stopAtMs = run.stopAtMs < 0 ? clockMs() + STOP_MS : run.stopAtMs;
        } else {
            highestEnded.merge(task, number, Math::max);
        }
        return reply(200, null);
    }

    private Web.Reply hold(JsonNode order) throws InterruptedException {
        long calledLife = life;
        extend(order);
        long seen = order.path("lastSeen").asLong(0);
        for (Ended end : List.copyOf(ended)) {
            if (end.number() <= seen) {
                ended.remove(end);
                if (!end.run().lapsedSinceEnd) {
                    observer.noted(this, end.run(), end.how());
                }
            }
        }
        long until = System.nanoTime() + order.path("waitMs").asLong(0) * 1_000_000;
        while (ended.isEmpty() && web != null && life == calledLife) {
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                break;
            }
            LOCK.wait(leftMs);
        }
        if (web == null || life != calledLife) {
            return null;
        }
        ObjectNode answer = mapper.createObjectNode().put("clockMs", clockMs()).put("born", bornMs);
        ArrayNode runs = answer.putArray("running");
        for (Run run : running.values()) {
            long percent = run.beganMs < 0 ? 0 : run.step.longRunning ? 100 : Math.min(100, 100 * (clockMs() - run.beganMs) / Math.max(1, run.step.workMs));
            runs.addArray().add(run.task).add(run.number).add(run.checkpoint).add(percent).add(run.step.cpu);
        }
        ArrayNode ends = answer.putArray("ended");
        ended.stream().limit(500).forEach(end ->
                ends.addArray().add(end.number()).add(end.run().task).add(end.run().number).add(end.how()).add(end.run().checkpoint));
        return Web.Reply.of(200, answer.toString());
    }
}
