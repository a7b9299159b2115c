import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 7: calls to runners are carried out late while runners crash and start again under their id. */
final class NoteCase {

    private static final int RUNNERS = 8;
    private static final int CPU = 16_000;
    private static final long LOAD_MS = 64_000;
    private static final long EVERY_MS = 10_000;
    private static final long LATE_MS = 5_500;
    private static final double LATE_SHARE = 0.055;
    private static final long DOWN_MS = 600;
    private static final long CRASH_EVERY_MS = 2_500;

    private NoteCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        AtomicInteger starts = new AtomicInteger();
        List<String> broken = new ArrayList<>();
        Map<String, List<Runner.Run>> done = new HashMap<>();
        Map<Runner.Run, Long> noted = new HashMap<>();
        record Again(String task, long number, List<Runner.Run> before, long atMs) {}
        List<Again> agains = new ArrayList<>();
        List<Runner> runners = new ArrayList<>();
        Runner.Observer observer = new Runner.Observer() {
            @Override
            public void started(Runner runner, Runner.Run run) {
                starts.incrementAndGet();
                record.line("runner %s life %d: starts %s run %d%s", runner.id, runner.life(), run.task, run.number, run.startedLate ? ", late" : "");
                if (run.startedLate) {
                    // Not judged: no leader could keep the runner from it in each case.
                    return;
                }
                for (Runner other : runners) {
                    if (other.up()) {
                        for (Runner.Run present : other.runs()) {
                            if (present != run && present.task.equals(run.task) && !present.startedLate) {
                                broken.add(run.task);
                                record.line("BROKEN TWICE: %s run %d starts while run %d is on %s", run.task, run.number, present.number, other.id);
                            }
                        }
                    }
                }
                if (done.containsKey(run.task)) {
                    agains.add(new Again(run.task, run.number, List.copyOf(done.get(run.task)), record.nowMs()));
                }
            }

            @Override
            public void ended(Runner runner, Runner.Run run, String how) {
                record.line("runner %s life %d: %s run %d ended %s", runner.id, runner.life(), run.task, run.number, how);
                if (how.equals("done")) {
                    done.computeIfAbsent(run.task, key -> new ArrayList<>()).add(run);
                }
            }

            @Override
            public void noted(Runner runner, Runner.Run run, String how) {
                if (!run.lapsedSinceEnd) {
                    noted.put(run, record.nowMs());
                    record.line("runner %s life %d: the end of %s run %d is taken note of", runner.id, runner.life(), run.task, run.number);
                }
            }

            @Override
            public void late(Runner runner, String path, String order, long ms) {
                record.line("runner %s life %d: %s %s %s", runner.id, runner.life(), path, order, ms > 0 ? "gets no answer and is carried out in " + ms + " ms" : "is carried out now, late");
            }
        };
        int accepted = 0;
        int crashes = 0;
        try (Deployment deployment = new Deployment(record, 4)) {
            deployment.configure(4, true);
            for (int i = 0; i < RUNNERS; i++) {
                runners.add(deployment.addRunner("r1-" + (1 + i / 4), new Runner.Kind("a", CPU, 64_000, true), observer));
            }
            deployment.startNodes();
            if (!deployment.awaitReady(20_000)) {
                System.out.println("the nodes are not ready");
                System.exit(2);
            }
            Thread.sleep(2_000);
            Random random = new Random(9);
            long begin = record.nowMs();
            long nextJob = begin;
            long nextCrash = 0;
            while (record.nowMs() - begin < LOAD_MS) {
                long now = record.nowMs() - begin;
                boolean late = trouble && now >= EVERY_MS / 2 && now < LOAD_MS - EVERY_MS && now % EVERY_MS < LATE_MS;
                Runner.lateShare = late ? LATE_SHARE : 0;
                if (late && record.nowMs() >= nextCrash) {
                    for (Runner runner : runners) {
                        if (runner.up() && runner.notesLaterThan(DOWN_MS + 2_500)) {
                            nextCrash = record.nowMs() + CRASH_EVERY_MS;
                            crashes++;
                            record.line("runner %s crashes; it starts again in %d ms", runner.id, DOWN_MS);
                            runner.crash();
                            Thread.ofVirtual().start(() -> {
                                try {
                                    Thread.sleep(DOWN_MS);
                                    runner.start(runner.kind());
                                } catch (Exception failure) {
                                    record.line("runner %s: %s", runner.id, failure);
                                }
                            });
                            break;
                        }
                    }
                }
                if (record.nowMs() >= nextJob) {
                    nextJob += 100;
                    Jobs.Job job = new Jobs.Job("%016x".formatted(random.nextLong()), "quick");
                    Jobs.Step step = new Jobs.Step();
                    step.count = 20;
                    step.cpu = 2_000;
                    step.workMs = 150 + random.nextInt(150);
                    job.steps.add(step);
                    deployment.jobs.add(job);
                    Node node = deployment.nodes.get(random.nextInt(deployment.nodes.size()));
                    accepted += deployment.request(node, "POST", job.id, job.body()).status() == 200 ? 1 : 0;
                }
                Thread.sleep(5);
            }
            Thread.sleep(4_000);
            Runner.lateShare = 0;
        }
        for (Again again : agains) {
            // Also ends that were taken note of after the start count.
            if (again.before().stream().anyMatch(noted::containsKey)) {
                broken.add(again.task());
                System.out.println("TWICE: %s run %d started at %d ms, after a run that ended done, whose end was taken note of".formatted(again.task(), again.number(), again.atMs()));
            }
        }
        System.out.println("%d jobs accepted, %d crashes, %d starts, %d starts after an end that was taken note of, or beside a run".formatted(accepted, crashes, starts.get(), broken.size()));
        if (accepted < 100 || starts.get() < 500) {
            System.exit(2);
        }
        System.exit(broken.isEmpty() ? 0 : 1);
    }
}
