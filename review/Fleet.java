import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-ins for the platform's runners, as PROTOCOL.md describes them: fences, leases, run numbers, lists of ends, room
 * and gangs. All share one lock.
 */
final class Fleet {

    private static final long MAX_LEASE_MS = 6_000;
    private static final long GANG_WAIT_MS = 3_000;
    private static final int MAX_ENDS_LISTED = 500;

    /** What a runner knows of the tasks of a step. */
    record Work(int cpu, long durationMs, boolean longRunning, int gangSize) {}

    private static final class Run {
        String task;
        long number;
        Work work;
        long startedMs;
        /** When the work began, -1 while a gang waits. */
        long workingSinceMs;
        boolean fails;
    }

    private record End(long number, String task, long run, String how) {}

    private final Recorder recorder;
    private final Store store;
    private final Map<String, Work> workBySteps = new HashMap<>();
    private final List<Runner> runners = new ArrayList<>();
    private final Map<String, Integer> startsByJob = new HashMap<>();
    private final Map<String, Double> lastStartByJob = new HashMap<>();
    private final Map<String, Integer> endsByJobAndReason = new HashMap<>();
    private boolean recordRuns = true;

    Fleet(Recorder recorder, Store store) {
        this.recorder = recorder;
        this.store = store;
        Thread.ofPlatform().daemon().name("runners").start(this::advanceForever);
        Thread.ofPlatform().daemon().name("reports").start(this::reportForever);
    }

    /** Starts a runner and registers it in the directory. */
    Runner add(String id, String service, int cpu, String kind, String rack) throws IOException {
        Runner runner = new Runner(id, service, cpu, kind, rack);
        synchronized (this) {
            runners.add(runner);
        }
        runner.register();
        return runner;
    }

    /** Tells the runners what the tasks of a step do. */
    synchronized void define(String job, int step, Work work) {
        workBySteps.put(job + "." + step, work);
    }

    /** Leaves the single starts and ends out of the record, of which there may be thousands. */
    synchronized void recordNoRuns() {
        recordRuns = false;
    }

    synchronized int starts(String job) {
        return startsByJob.getOrDefault(job, 0);
    }

    synchronized double lastStart(String job) {
        return lastStartByJob.getOrDefault(job, -1.0);
    }

    synchronized int ends(String job, String how) {
        return endsByJobAndReason.getOrDefault(job + " " + how, 0);
    }

    synchronized int running(String job) {
        int count = 0;
        for (Runner runner : runners) {
            for (Run run : runner.runs.values()) {
                count += run.task.startsWith(job + ".") ? 1 : 0;
            }
        }
        return count;
    }

    /** Returns the processor time in use on the runners of a service, as a fraction. */
    synchronized double use(String service) {
        double used = 0;
        double all = 0;
        for (Runner runner : runners) {
            if (runner.service.equals(service)) {
                used += runner.usedCpu();
                all += runner.cpu;
            }
        }
        return used / all;
    }

    private void advanceForever() {
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException stopped) {
                return;
            }
            synchronized (this) {
                startGangs();
                runners.forEach(Runner::advance);
            }
        }
    }

    private void reportForever() {
        for (long sequence = 1; ; sequence++) {
            try {
                Thread.sleep(1_500);
            } catch (InterruptedException stopped) {
                return;
            }
            for (Runner runner : List.copyOf(runners)) {
                runner.sequence = sequence;
                runner.register();
            }
        }
    }

    /** Lets the gangs work whose members are all there. */
    private void startGangs() {
        Map<String, List<Run>> waiting = new HashMap<>();
        for (Runner runner : runners) {
            for (Run run : runner.runs.values()) {
                if (run.workingSinceMs < 0) {
                    waiting.computeIfAbsent(stepOf(run.task) + "#" + run.number, key -> new ArrayList<>()).add(run);
                }
            }
        }
        for (List<Run> members : waiting.values()) {
            if (members.size() == members.getFirst().work.gangSize()) {
                long nowMs = System.nanoTime() / 1_000_000;
                members.forEach(member -> member.workingSinceMs = nowMs);
            }
        }
    }

    /** Ends the other members of a gang, because one has ended. */
    private void breakGang(Run ended, String how) {
        for (Runner runner : runners) {
            for (Run run : List.copyOf(runner.runs.values())) {
                if (run != ended
                        && run.number == ended.number
                        && stepOf(run.task).equals(stepOf(ended.task))
                        && !run.fails) {
                    runner.end(run, how);
                }
            }
        }
    }

    private static String stepOf(String task) {
        return task.substring(0, task.lastIndexOf('.'));
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    /** One runner. */
    final class Runner {

        private final String id;
        private final String service;
        private final int cpu;
        private final String kind;
        private final String rack;
        private final HttpServer server;
        private final long startMs = System.nanoTime() / 1_000_000 - 1;
        private final long born = System.currentTimeMillis();
        private final Map<String, Run> runs = new LinkedHashMap<>();
        private final Map<String, Long> highestRuns = new HashMap<>();
        private final List<End> ends = new ArrayList<>();
        private long fence;
        private long leaseEndMs;
        private long lastEnd;
        private volatile long sequence;

        /** Whether all that the runner starts fails, while its reports are good. */
        private boolean failing;

        private Runner(String id, String service, int cpu, String kind, String rack) throws IOException {
            this.id = id;
            this.service = service;
            this.cpu = cpu;
            this.kind = kind;
            this.rack = rack;
            this.server = Http.listen(this::handle);
        }

        void setFailing(boolean value) {
            synchronized (Fleet.this) {
                failing = value;
            }
            recorder.line("runner %s: %s", id, value ? "fails all that it starts" : "is sound again");
        }

        private void register() {
            ObjectNode entry = Http.JSON.createObjectNode();
            entry.put("service", service)
                    .put("address", Http.address(server))
                    .put("zone", "tw-north-a")
                    .put("version", "1")
                    .put("slots", 8)
                    .put("state", "ready")
                    .put("coldLeftMs", 0)
                    .put("clockMs", clockMs())
                    .put("sequence", sequence)
                    .put("born", born);
            entry.putObject("capacity").put("cpu", cpu).put("memMb", 64_000).put("gpu", 0);
            entry.putArray("labels").add(kind).add(rack);
            store.write("servers", id, entry);
        }

        private long clockMs() {
            return System.nanoTime() / 1_000_000 - startMs;
        }

        private int usedCpu() {
            return runs.values().stream().mapToInt(run -> run.work.cpu()).sum();
        }

        private void handle(HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
            if (!id.equals(exchange.getRequestHeaders().getFirst("Expect-Instance"))) {
                Http.respond(exchange, 421, Http.JSON.createObjectNode());
                return;
            }
            ObjectNode response = Http.JSON.createObjectNode();
            int status;
            synchronized (Fleet.this) {
                if (body.path("fence").asLong() < fence) {
                    response.put("reason", "fence");
                    status = 409;
                } else {
                    fence = body.path("fence").asLong();
                    leaseEndMs = Math.max(
                            leaseEndMs, Math.min(body.path("untilMs").asLong(), clockMs() + MAX_LEASE_MS));
                    status = switch (exchange.getRequestURI().getPath()) {
                        case "/-/run-start" -> start(body, response);
                        case "/-/run-stop" -> stop(body);
                        case "/-/hold" -> hold(body, response);
                        case "/-/pace" -> 200;
                        default -> 404;
                    };
                }
                response.put("clockMs", clockMs()).put("born", born);
            }
            Http.respond(exchange, status, response);
        }

        private int start(JsonNode body, ObjectNode response) {
            String task = body.path("task").asText();
            long number = body.path("run").asLong();
            Run present = runs.get(task);
            if (present != null && present.number == number) {
                return 200;
            }
            if (number <= highestRuns.getOrDefault(task, 0L)) {
                response.put("reason", "old");
                return 409;
            }
            if (leaseEndMs <= clockMs()) {
                response.put("reason", "late");
                return 409;
            }
            String step = jobOf(task) + "." + task.split("\\.")[2];
            Work work = workBySteps.get(step);
            if (usedCpu() + work.cpu() > cpu) {
                response.put("reason", "room");
                return 409;
            }
            Run run = new Run();
            run.task = task;
            run.number = number;
            run.work = work;
            run.startedMs = System.nanoTime() / 1_000_000;
            run.workingSinceMs = work.gangSize() > 0 ? -1 : run.startedMs;
            run.fails = failing;
            runs.put(task, run);
            highestRuns.put(task, number);
            startsByJob.merge(jobOf(task), 1, Integer::sum);
            lastStartByJob.put(jobOf(task), recorder.now());
            if (recordRuns) {
                recorder.line("runner %s: starts %s run %d", id, task, number);
            }
            return 200;
        }

        private int stop(JsonNode body) {
            String task = body.path("task").asText();
            long number = body.path("run").asLong();
            highestRuns.merge(task, number, Math::max);
            Run run = runs.get(task);
            if (run != null && run.number == number) {
                end(run, "stopped");
                if (run.work.gangSize() > 0) {
                    breakGang(run, "broken");
                }
            }
            return 200;
        }

        private int hold(JsonNode body, ObjectNode response) throws InterruptedException {
            ends.removeIf(end -> end.number() <= body.path("lastSeen").asLong());
            long waitEndNanos = System.nanoTime() + body.path("waitMs").asLong() * 1_000_000;
            long seen = lastEnd;
            while (lastEnd == seen) {
                long leftMs = (waitEndNanos - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) {
                    break;
                }
                Fleet.this.wait(leftMs);
            }
            ArrayNode running = response.putArray("running");
            long nowMs = System.nanoTime() / 1_000_000;
            for (Run run : runs.values()) {
                long workedMs = run.workingSinceMs < 0 ? 0 : nowMs - run.workingSinceMs;
                long percent = run.work.longRunning() ? 100 : Math.min(99, 100 * workedMs / run.work.durationMs());
                running.addArray().add(run.task).add(run.number).add("").add(percent).add(run.work.cpu());
            }
            ArrayNode ended = response.putArray("ended");
            for (End end : ends) {
                if (ended.size() < MAX_ENDS_LISTED) {
                    ended.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
                }
            }
            return 200;
        }

        private void advance() {
            long nowMs = System.nanoTime() / 1_000_000;
            for (Run run : List.copyOf(runs.values())) {
                if (!runs.containsValue(run)) {
                    continue;
                }
                boolean gang = run.work.gangSize() > 0;
                if (leaseEndMs < clockMs()) {
                    end(run, "lapsed");
                } else if (run.workingSinceMs < 0) {
                    if (nowMs - run.startedMs > GANG_WAIT_MS) {
                        end(run, "alone");
                    }
                } else if (run.fails && nowMs - run.workingSinceMs > 100) {
                    end(run, "failed");
                    if (gang) {
                        breakGang(run, "broken");
                    }
                } else if (!run.work.longRunning() && nowMs - run.workingSinceMs >= run.work.durationMs()) {
                    end(run, "done");
                    if (gang) {
                        breakGang(run, "done");
                    }
                }
            }
        }

        private void end(Run run, String how) {
            runs.remove(run.task);
            ends.add(new End(++lastEnd, run.task, run.number, how));
            endsByJobAndReason.merge(jobOf(run.task) + " " + how, 1, Integer::sum);
            if (recordRuns) {
                recorder.line("runner %s: ends %s run %d %s", id, run.task, run.number, how);
            }
            Fleet.this.notifyAll();
        }
    }
}
