import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Small jobs come all the time, and for four seconds large ones, too. Most are accepted. Then nothing runs any more,
 * although all runners are idle.
 */
final class LargeJobsAtOnce {

    private static final int LARGE_JOBS = 38;
    private static final int TASKS_OF_A_LARGE_JOB = 5_000;
    private static final long LARGE_JOB_INTERVAL_MS = 105;
    private static final long SMALL_JOB_INTERVAL_MS = 500;
    private static final long CALM_BEFORE_MS = 5_000;
    private static final long TRAFFIC_MS = 25_000;
    private static final long FINISH_MS = 14_000;
    private static final long WATCHED_MS = 25_000;
    private static final long IDLE_BOUND_MS = 3_000;
    private static final long TASK_MS = 1_000;

    private final List<String> accepted = new ArrayList<>();
    private final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        LargeJobsAtOnce largeJobs = new LargeJobsAtOnce();
        Deployment.main(arguments, largeJobs::run);
    }

    private Deployment.Outcome run(Deployment deployment) throws Exception {
        deployment.addRunners(8, 16_000, task -> TASK_MS, (runner, path, order) -> 0, task -> false);
        if (!deployment.startNodes()) {
            return Deployment.Outcome.COULD_NOT_RUN;
        }
        long startMs = deployment.record.nowMs();
        Thread small = Thread.ofVirtual().start(() -> submit(
                deployment, "aaaa000000", 2, TRAFFIC_MS / SMALL_JOB_INTERVAL_MS, SMALL_JOB_INTERVAL_MS));
        if (deployment.trouble) {
            Thread.sleep(CALM_BEFORE_MS);
            for (int i = 0; i < LARGE_JOBS; i++) {
                String prefix = "bbbb%06x".formatted(i);
                Thread.ofVirtual().start(() -> submit(deployment, prefix, TASKS_OF_A_LARGE_JOB, 1, LARGE_JOB_INTERVAL_MS));
                Thread.sleep(LARGE_JOB_INTERVAL_MS);
            }
        }
        small.join();
        long trafficEndMs = Math.max(deployment.record.nowMs(), startMs + TRAFFIC_MS);
        deployment.record.write("end of the traffic; accepted " + accepted.size() + ", refused " + refused);
        Thread.sleep(FINISH_MS + trafficEndMs - deployment.record.nowMs());
        long watchStartMs = deployment.record.nowMs();
        Thread.sleep(WATCHED_MS);
        long watchEndMs = deployment.record.nowMs();

        long idleMs = longestIdleMs(deployment, watchStartMs, watchEndMs);
        boolean finished = accepted.stream().allMatch(job -> ended(deployment, job));
        deployment.record.write("nothing ran for " + idleMs + " ms from " + watchStartMs + " to " + watchEndMs
                + "; all accepted jobs have ended: " + finished);
        if (!finished && idleMs > IDLE_BOUND_MS) {
            deployment.record.write("LOST: accepted jobs wait, all runners are idle");
            return Deployment.Outcome.BROKEN;
        }
        return Deployment.Outcome.HELD;
    }

    private void submit(Deployment deployment, String prefix, int tasks, long jobs, long intervalMs) {
        long beginMs = deployment.record.nowMs();
        for (int i = 0; i < jobs && deployment.record.nowMs() < beginMs + jobs * intervalMs; i++) {
            String job = "%s%06x".formatted(prefix, i);
            CaseJobs.add(job, 500);
            String body = "{\"spec\":\"text\",\"steps\":[{\"count\":" + tasks + ",\"cpu\":500,\"memMb\":64,\"estMs\":" + TASK_MS
                    + "}]}";
            try {
                boolean taken = deployment.request("POST", job, body).status() == 200;
                synchronized (accepted) {
                    if (taken) {
                        accepted.add(job);
                    } else {
                        refused.incrementAndGet();
                    }
                }
                Thread.sleep(Math.max(10, beginMs + (i + 1) * intervalMs - deployment.record.nowMs()));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /** Returns whether all tasks of a job that the runners were told to start have ended, and as many as it has. */
    private static boolean ended(Deployment deployment, String job) {
        int tasks = job.startsWith("bbbb") ? TASKS_OF_A_LARGE_JOB : 2;
        return deployment.runs.stream()
                        .filter(run -> run.task.startsWith(job) && run.how.equals("done"))
                        .map(run -> run.task)
                        .distinct()
                        .count()
                == tasks;
    }

    /** Returns the longest time within a span in which no runner had any task, in milliseconds. */
    private static long longestIdleMs(Deployment deployment, long fromMs, long toMs) {
        long longest = 0;
        long idleSinceMs = fromMs;
        for (long nowMs = fromMs; nowMs < toMs; nowMs += 10) {
            long moment = nowMs;
            if (deployment.runs.stream().anyMatch(run -> run.startMs <= moment && run.endMs > moment)) {
                idleSinceMs = nowMs;
            }
            longest = Math.max(longest, nowMs - idleSinceMs);
        }
        return longest;
    }
}
