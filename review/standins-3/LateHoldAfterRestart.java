import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A hold without an answer names many ends as seen. Its runner crashes, starts again under its identifier, works on, and
 * then carries out the hold while some ends of its new life have not been told yet. It forgets these.
 */
final class LateHoldAfterRestart {

    private static final int JOBS = 40;
    private static final int TASKS = 150;
    private static final int MIN_TASK_MS = 120;
    private static final long MIN_LAST_SEEN = 150;
    private static final long CRASH_AFTER_MS = 700;
    private static final long DOWN_MS = 600;
    private static final long LATE_MS = 4_500;
    private static final long STATE_INTERVAL_MS = 2_000;

    private RunnerStandin lateRunner;

    public static void main(String[] arguments) throws Exception {
        LateHoldAfterRestart lateHold = new LateHoldAfterRestart();
        Deployment.main(arguments, lateHold::run);
    }

    private Deployment.Outcome run(Deployment deployment) throws Exception {
        deployment.addRunners(
                8,
                4_000,
                task -> MIN_TASK_MS + Math.floorMod(task.hashCode(), MIN_TASK_MS),
                new RunnerStandin.LateOrders() {
                    @Override
                    public long delayMs(RunnerStandin runner, String path, JsonNode order) {
                        return deployment.trouble ? delayOf(runner, path, order) : 0;
                    }

                    @Override
                    public boolean waitsFurther(RunnerStandin runner) {
                        return !runner.hasUntoldEnds();
                    }
                },
                task -> false);
        if (!deployment.startNodes()) {
            return Deployment.Outcome.COULD_NOT_RUN;
        }
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = "7d93be4a21c0%04x".formatted(i);
            CaseJobs.add(job, 500);
            String body = "{\"spec\":\"text\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":500,\"memMb\":256,\"estMs\":180}]}";
            if (deployment.request("POST", job, body).status() != 200) {
                return Deployment.Outcome.COULD_NOT_RUN;
            }
            jobs.add(job);
        }
        if (deployment.trouble) {
            if (!Deployment.await(30_000, () -> lateRunner() != null)) {
                return Deployment.Outcome.COULD_NOT_RUN;
            }
            Thread.sleep(CRASH_AFTER_MS);
            lateRunner().crash();
            Thread.sleep(DOWN_MS);
            lateRunner().start();
        }
        for (int i = 0; i < 20 && !jobs.isEmpty(); i++) {
            Thread.sleep(STATE_INTERVAL_MS);
            while (!jobs.isEmpty() && deployment.completed(jobs.getLast())) {
                jobs.removeLast();
            }
        }
        if (startedAfterDone(deployment)) {
            return Deployment.Outcome.BROKEN;
        }
        return jobs.isEmpty() ? Deployment.Outcome.HELD : Deployment.Outcome.COULD_NOT_RUN;
    }

    private synchronized RunnerStandin lateRunner() {
        return lateRunner;
    }

    /** Leaves one hold unanswered. */
    private synchronized long delayOf(RunnerStandin runner, String path, JsonNode order) {
        if (lateRunner != null || !path.equals("/-/hold") || order.path("lastSeen").asLong() < MIN_LAST_SEEN) {
            return 0;
        }
        lateRunner = runner;
        return LATE_MS;
    }

    /** Returns whether a task was started after a run of it had ended as done and the end was taken note of. */
    private static boolean startedAfterDone(Deployment deployment) {
        boolean found = false;
        for (RunnerStandin.RunInterval done : deployment.runs) {
            if (!done.how.equals("done") || done.notedMs < 0) {
                continue;
            }
            for (RunnerStandin.RunInterval later : deployment.runs) {
                if (later.task.equals(done.task) && later.startMs > done.endMs) {
                    found = true;
                    deployment.record.write("TWICE: %s run %d on %s ended done at %d, taken note of at %d; run %d begins at %d"
                            .formatted(done.task, done.run, done.runner, done.endMs, done.notedMs, later.run, later.startMs));
                }
            }
        }
        return found;
    }
}
