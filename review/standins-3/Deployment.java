import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, runners of one service, and three nodes. */
final class Deployment implements AutoCloseable {

    private static final int NODES = 3;

    /** The first attempt and the four retries of the sheet. */
    private static final int ATTEMPTS = 5;

    final CaseRecord record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final StoreStandin store;
    final List<RunnerStandin.RunInterval> runs = new CopyOnWriteArrayList<>();
    final List<RunnerStandin> runners = new ArrayList<>();
    final NodeProcesses nodes;
    private final Path folder;

    /** Exit codes of a case. */
    enum Outcome {
        HELD(0),
        BROKEN(1),
        COULD_NOT_RUN(2);

        final int exitCode;

        Outcome(int exitCode) {
            this.exitCode = exitCode;
        }
    }

    /** A case, run on a deployment that is ready. */
    interface Case {
        Outcome run(Deployment deployment) throws Exception;
    }

    private Deployment(Path caseFolder) throws IOException {
        record = new CaseRecord(caseFolder.resolve("record.txt"));
        store = new StoreStandin();
        folder = Files.createTempDirectory("review-3-");
        nodes = new NodeProcesses(Path.of("").toAbsolutePath(), folder);
        store.write("op", "config", """
                {"version":1,"routes":[{"name":"r-work","host":"%s","prefix":"%s","kind":"non_idempotent",\
                "timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"work","maxAttempts":4,"stretch":2}],\
                "services":[{"name":"work","admissionCheck":true}],"limits":{}}"""
                .formatted(Requester.HOST, Requester.PREFIX));
    }

    void addRunners(
            int count,
            int cpu,
            ToLongFunction<String> taskMs,
            RunnerStandin.LateOrders late,
            Predicate<String> longRunning)
            throws IOException {
        for (int i = 1; i <= count; i++) {
            RunnerStandin runner = new RunnerStandin(
                    "i-%04d".formatted(i), "127.0.2." + i, store, record, runs, late, longRunning, taskMs, cpu);
            runners.add(runner);
            runner.start();
        }
    }

    /** Starts the nodes, and returns whether all are ready in time. */
    boolean startNodes() throws IOException, InterruptedException {
        for (int i = 1; i <= NODES; i++) {
            nodes.start("node-" + i, "127.0.1." + i, store.address());
        }
        boolean ready = await(20_000, () -> nodes.all().stream().allMatch(Requester::ready));
        record.write(ready ? "all nodes are ready" : "not all nodes are ready");
        // The first leader reads the runners.
        Thread.sleep(3_000);
        return ready;
    }

    /** Waits for a condition, and returns whether it became true in time. */
    static boolean await(long timeoutMs, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos >= 0) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    /** Sends a request of a requester, repeated at the other nodes while it has no final answer. */
    Requester.Answer request(String method, String job, String body) throws InterruptedException {
        Requester.Answer answer = new Requester.Answer(0, "");
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            NodeProcesses.Node node = nodes.all().get(attempt % NODES);
            answer = Requester.call(node, method, Requester.PREFIX + job, body, 3_000);
            record.write("requester " + method + " " + job + " at " + node.name() + " -> " + answer.status() + " "
                    + answer.body());
            if (answer.status() != 0 && answer.status() < 500) {
                return answer;
            }
            Thread.sleep(500);
        }
        return answer;
    }

    /** Returns whether a job is shown as completed. */
    boolean completed(String job) throws InterruptedException {
        return request("GET", job, "").body().contains("\"completed\"");
    }

    /** Runs a case and ends the process with its exit code. */
    static void main(String[] arguments, Case body) throws Exception {
        Outcome outcome = Outcome.COULD_NOT_RUN;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            // Also if the case is ended from outside.
            Runtime.getRuntime().addShutdownHook(new Thread(deployment.nodes::close));
            try {
                outcome = body.run(deployment);
            } catch (Exception failure) {
                deployment.record.write("the case failed: " + failure);
            }
            deployment.record.write("outcome " + outcome);
        }
        System.out.println(outcome);
        System.exit(outcome.exitCode);
    }

    @Override
    public void close() throws IOException {
        nodes.close();
        runners.forEach(RunnerStandin::close);
        store.stop();
        record.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("logs of the nodes: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
