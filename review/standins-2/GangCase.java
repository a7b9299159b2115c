import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Case 6: the only runner with a label fails all that it starts for some seconds; afterwards gangs that need the label come. */
final class GangCase {

    private static final int RUNNERS = 12;
    private static final int CPU = 16_000;
    private static final long TROUBLE_FROM_MS = 8_000;
    private static final long TROUBLE_MS = 6_500;
    private static final long LOAD_MS = 40_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long WATCH_MS = 5_000;

    private GangCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        Map<String, Integer> running = new HashMap<>();
        Set<String> done = new HashSet<>();
        Map<String, Integer> failures = new HashMap<>();
        Runner.Observer observer = new Runner.Observer() {
            @Override
            public void started(Runner runner, Runner.Run run) {
                synchronized (running) {
                    running.merge(Jobs.part(run.task, 0), 1, Integer::sum);
                }
                record.line("runner %s kind %s: starts %s run %d", runner.id, runner.kind().label(), run.task, run.number);
            }

            @Override
            public void ended(Runner runner, Runner.Run run, String how) {
                synchronized (running) {
                    running.merge(Jobs.part(run.task, 0), -1, Integer::sum);
                    if (how.equals("done")) {
                        done.add(run.step.gang ? Jobs.stepName(run.task) : run.task);
                    } else if (how.equals("failed")) {
                        failures.merge(run.step.gang ? Jobs.stepName(run.task) : run.task, 1, Integer::sum);
                    }
                }
                record.line("runner %s: %s run %d ended %s", runner.id, run.task, run.number, how);
            }

            @Override
            public void noted(Runner runner, Runner.Run run, String how) {}
        };
        List<Jobs.Job> accepted = new ArrayList<>();
        Set<Jobs.Job> lost = new HashSet<>();
        int ended = 0;
        try (Deployment deployment = new Deployment(record, 4)) {
            deployment.configure(4, true);
            for (int i = 0; i < RUNNERS; i++) {
                deployment.addRunner("r1-" + (1 + i / 4), new Runner.Kind(i < 1 ? "b" : "a", CPU, 64_000, true), observer);
            }
            deployment.startNodes();
            if (!deployment.awaitReady(20_000)) {
                System.out.println("the nodes are not ready");
                System.exit(2);
            }
            Thread.sleep(2_000);
            Random random = new Random(8);
            long begin = record.nowMs();
            long nextJob = begin;
            boolean failing = false;
            while (record.nowMs() - begin < LOAD_MS) {
                long now = record.nowMs() - begin;
                boolean shallFail = trouble && now >= TROUBLE_FROM_MS && now < TROUBLE_FROM_MS + TROUBLE_MS;
                if (shallFail != failing) {
                    failing = shallFail;
                    record.line("the runner of kind b %s", failing ? "fails all that it starts from now on" : "is sound again");
                    deployment.runners.get(0).setFailing(failing);
                }
                if (record.nowMs() >= nextJob) {
                    nextJob += 800;
                    for (boolean gang : new boolean[] {true, false}) {
                        Jobs.Job job = new Jobs.Job("%016x".formatted(random.nextLong()), gang ? "training" : "report");
                        Jobs.Step step = new Jobs.Step();
                        step.count = 4;
                        step.cpu = 2_000;
                        step.workMs = 600;
                        step.gang = gang;
                        step.label = gang ? "b" : "a";
                        job.steps.add(step);
                        deployment.jobs.add(job);
                        Node node = deployment.nodes.get(random.nextInt(deployment.nodes.size()));
                        if (deployment.request(node, "POST", job.id, job.body()).status() == 200) {
                            accepted.add(job);
                        }
                    }
                }
                Thread.sleep(5);
            }
            record.line("the traffic ends");
            Thread.sleep(FINISH_MS);
            Map<Jobs.Job, Long> idleSince = new HashMap<>();
            long watchEnd = record.nowMs() + WATCH_MS;
            while (record.nowMs() < watchEnd) {
                int used = deployment.runners.stream().mapToInt(Runner::usedCpu).sum();
                int usedOfB = deployment.runners.get(0).usedCpu();
                synchronized (running) {
                    for (Jobs.Job job : accepted) {
                        Jobs.Step step = job.steps.getFirst();
                        String name = job.id + ".0.0";
                        boolean over = step.gang
                                ? done.contains(name) || failures.getOrDefault(name, 0) >= job.maxAttempts
                                : java.util.stream.IntStream.range(0, step.count).allMatch(i -> done.contains(name + "." + i));
                        // Capacity for the whole step twice over, on the runners that have its label.
                        int free = step.gang ? CPU - usedOfB : (RUNNERS - 1) * CPU - (used - usedOfB);
                        boolean owed = !over && running.getOrDefault(job.id, 0) == 0
                                && free >= 2 * step.count * step.cpu && 2 * used < RUNNERS * CPU;
                        if (!owed) {
                            idleSince.remove(job);
                        } else if (record.nowMs() - idleSince.computeIfAbsent(job, key -> record.nowMs()) >= IDLE_MS && lost.add(job)) {
                            record.line("BROKEN LOST: nothing of %s has run for %d ms; %d of %d are in use, %d on the runners with its label", job.id, IDLE_MS, used, RUNNERS * CPU, usedOfB);
                        }
                    }
                }
                Thread.sleep(50);
            }
            for (Jobs.Job job : accepted) {
                String state = deployment.request(deployment.nodes.get(random.nextInt(4)), "GET", job.id, null).body();
                ended += state.contains("completed") || state.contains("failed") ? 1 : 0;
            }
        }
        System.out.println("%d jobs accepted, %d ended, %d of which nothing ran for 3 s, %.0f s after the end of the traffic, although there was room".formatted(accepted.size(), ended, lost.size(), FINISH_MS / 1e3));
        if (accepted.size() < 80 || ended < 40) {
            System.exit(2);
        }
        System.exit(lost.isEmpty() ? 0 : 1);
    }
}
