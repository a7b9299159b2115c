import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A start without an answer is stopped, its task starts on another runner, and the first runner crashes and starts again
 * under its identifier. Then it carries out the start.
 */
final class LateStartAfterRestart {

    private static final int TASKS = 40;
    private static final long TASK_MS = 12_000;
    private static final long CRASH_AFTER_MS = 3_500;
    private static final long DOWN_MS = 600;
    private static final long LATE_MS = 8_000;
    private static final String JOB = "5c0e7a21d94b36f8";

    private String lateTask;
    private RunnerStandin lateRunner;
    private final Set<String> seen = new HashSet<>();

    public static void main(String[] arguments) throws Exception {
        LateStartAfterRestart lateStart = new LateStartAfterRestart();
        Deployment.main(arguments, lateStart::run);
    }

    private Deployment.Outcome run(Deployment deployment) throws Exception {
        deployment.addRunners(
                8,
                16_000,
                task -> TASK_MS,
                (runner, path, order) -> deployment.trouble ? delayMs(runner, path, order) : 0,
                task -> false);
        if (!deployment.startNodes()) {
            return Deployment.Outcome.COULD_NOT_RUN;
        }
        CaseJobs.add(JOB, 500);
        String body = "{\"spec\":\"text\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":500,\"memMb\":256,\"estMs\":" + TASK_MS
                + "}]}";
        if (deployment.request("POST", JOB, body).status() != 200) {
            return Deployment.Outcome.COULD_NOT_RUN;
        }
        if (deployment.trouble) {
            if (!Deployment.await(10_000, () -> lateRunner() != null)) {
                return Deployment.Outcome.COULD_NOT_RUN;
            }
            Thread.sleep(CRASH_AFTER_MS);
            lateRunner().crash();
            Thread.sleep(DOWN_MS);
            lateRunner().start();
        }
        boolean completed = false;
        for (int i = 0; i < 25 && !completed; i++) {
            Thread.sleep(2_000);
            completed = deployment.completed(JOB);
        }
        if (overlaps(deployment)) {
            return Deployment.Outcome.BROKEN;
        }
        return completed ? Deployment.Outcome.HELD : Deployment.Outcome.COULD_NOT_RUN;
    }

    private synchronized RunnerStandin lateRunner() {
        return lateRunner;
    }

    /** Leaves the start of one task on one runner unanswered, also when it is repeated. */
    private synchronized long delayMs(RunnerStandin runner, String path, JsonNode order) {
        if (!path.equals("/-/run-start")) {
            return 0;
        }
        String task = order.path("task").asText();
        seen.add(task);
        if (lateTask == null && seen.size() == TASKS / 2) {
            lateTask = task;
            lateRunner = runner;
        }
        return task.equals(lateTask) && runner == lateRunner && order.path("run").asLong() == 1 ? LATE_MS : 0;
    }

    private static boolean overlaps(Deployment deployment) {
        boolean overlap = false;
        List<RunnerStandin.RunInterval> runs = deployment.runs;
        for (int i = 0; i < runs.size(); i++) {
            for (int j = i + 1; j < runs.size(); j++) {
                RunnerStandin.RunInterval first = runs.get(i);
                RunnerStandin.RunInterval second = runs.get(j);
                boolean together = first.task.equals(second.task)
                        && first.startMs < second.endMs
                        && second.startMs < first.endMs;
                if (together) {
                    overlap = true;
                    deployment.record.write("TWICE: " + describe(first) + " and " + describe(second));
                }
            }
        }
        return overlap;
    }

    private static String describe(RunnerStandin.RunInterval run) {
        return "%s run %d on %s from %d to %d (%s)"
                .formatted(run.task, run.run, run.runner, run.startMs, run.endMs, run.how);
    }
}
