import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 8: runners crash and start again at once under their id, as another kind. */
final class KindCase {

    private static final int RUNNERS = 8;
    private static final long LOAD_MS = 62_000;
    private static final long DOWN_MS = 2_000;

    private KindCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger starts = new AtomicInteger();
        Runner.Observer observer = new Runner.Observer() {
            @Override
            public void started(Runner runner, Runner.Run run) {
                String label = run.step.label;
                boolean wrong = !label.equals(runner.kind().label());
                starts.incrementAndGet();
                if (wrong) {
                    broken.incrementAndGet();
                }
                record.line("runner %s life %d kind %s: starts %s run %d, which requires %s%s",
                        runner.id, runner.life(), runner.kind().label(), run.task, run.number, label, wrong ? " BROKEN ROUTE" : "");
            }

            @Override
            public void ended(Runner runner, Runner.Run run, String how) {
                record.line("runner %s life %d: %s run %d ended %s", runner.id, runner.life(), run.task, run.number, how);
            }

            @Override
            public void noted(Runner runner, Runner.Run run, String how) {}
        };
        int accepted = 0;
        try (Deployment deployment = new Deployment(record, 4)) {
            deployment.configure(4, true);
            for (int i = 0; i < RUNNERS; i++) {
                deployment.addRunner("r1-" + (1 + i / 4), new Runner.Kind(i % 2 == 0 ? "a" : "b", 16_000, 64_000, true), observer);
            }
            deployment.startNodes();
            if (!deployment.awaitReady(20_000)) {
                System.out.println("the nodes are not ready");
                System.exit(2);
            }
            Thread.sleep(2_000);
            Random random = new Random(6);
            long begin = record.nowMs();
            long nextJob = begin;
            long nextCrash = begin + 8_000;
            int crashed = 0;
            while (record.nowMs() - begin < LOAD_MS) {
                long now = record.nowMs();
                if (trouble && now >= nextCrash && now - begin < LOAD_MS - 6_000) {
                    Runner runner = deployment.runners.get(crashed % RUNNERS);
                    Runner.Kind next = new Runner.Kind(runner.kind().label().equals("a") ? "b" : "a", 16_000, 64_000, true);
                    record.line("runner %s crashes; it starts again in %d ms as kind %s", runner.id, DOWN_MS, next.label());
                    runner.crash();
                    Thread.ofVirtual().start(() -> {
                        try {
                            Thread.sleep(DOWN_MS);
                            runner.start(next);
                            record.line("runner %s has reported itself and accepts orders as kind %s", runner.id, next.label());
                        } catch (Exception failure) {
                            record.line("runner %s: %s", runner.id, failure);
                        }
                    });
                    crashed++;
                    nextCrash = now + 8_000;
                }
                if (now >= nextJob) {
                    nextJob += 250;
                    for (String label : new String[] {"a", "b"}) {
                        Jobs.Job job = new Jobs.Job("%016x".formatted(random.nextLong()), "work 600");
                        Jobs.Step step = new Jobs.Step();
                        step.count = 7;
                        step.cpu = 4_000;
                        step.workMs = 600;
                        step.label = label;
                        job.steps.add(step);
                        deployment.jobs.add(job);
                        Node node = deployment.nodes.get(random.nextInt(deployment.nodes.size()));
                        Http.Answer answer = deployment.request(node, "POST", job.id, job.body());
                        accepted += answer.status() == 200 ? 1 : 0;
                    }
                }
                Thread.sleep(5);
            }
        }
        String result = "%d jobs accepted, %d starts, %d on a runner without the label that the step requires".formatted(accepted, starts.get(), broken.get());
        System.out.println(result);
        if (accepted < 100 || starts.get() < 500) {
            System.exit(2);
        }
        System.exit(broken.get() > 0 ? 1 : 0);
    }
}
