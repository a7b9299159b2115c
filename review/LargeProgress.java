import com.fasterxml.jackson.databind.node.ObjectNode;

/** A scheduled job whose progress does not fit into a row blocks all transactions of the leader. */
final class LargeProgress {

    private static final int RUNNERS = 12;
    private static final int TASKS = 10;
    private static final int INTERVAL_MS = 50;
    private static final long FINISH_MS = 14_000;

    private LargeProgress() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        int occurrences = trouble ? 1_000 : 100;
        for (int i = 0; i < RUNNERS; i++) {
            deployment.fleet.add("runner-" + i, Deployment.SERVICE, 16_000, "a", "r1-" + i / 8);
        }
        deployment.fleet.recordNoRuns();
        deployment.start(3, 3);
        String scheduledJob = Deployment.id(1);
        ObjectNode body = Deployment.job();
        Deployment.addStep(body, TASKS, 100, 100);
        body.put("repeats", occurrences)
                .put("firstMs", System.currentTimeMillis() + 500)
                .put("intervalMs", INTERVAL_MS);
        deployment.fleet.define(scheduledJob, 0, new Fleet.Work(100, 100, false, 0));
        if (!deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + scheduledJob, body)) {
            throw new IllegalStateException("the job was not accepted");
        }
        Thread.sleep(500 + (long) occurrences * INTERVAL_MS + 2_000);
        deployment.recorder.line("%d tasks were started", deployment.fleet.starts(scheduledJob));

        String lastingJob = Deployment.id(2);
        ObjectNode lasting = Deployment.job();
        Deployment.addStep(lasting, 2, 500, 0).put("longRunning", true);
        deployment.fleet.define(lastingJob, 0, new Fleet.Work(500, 1, true, 0));
        String smallJob = Deployment.id(3);
        ObjectNode small = Deployment.job();
        Deployment.addStep(small, 2, 500, 500);
        deployment.fleet.define(smallJob, 0, new Fleet.Work(500, 500, false, 0));
        if (!deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + lastingJob, lasting)
                || !deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + smallJob, small)) {
            throw new IllegalStateException("a job was not accepted");
        }
        Thread.sleep(FINISH_MS);
        boolean idle = true;
        for (int i = 0; i < 30; i++) {
            idle &= deployment.fleet.running(lastingJob) == 0 && deployment.fleet.use(Deployment.SERVICE) < 0.5;
            Thread.sleep(100);
        }
        String scheduledState = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + scheduledJob);
        String smallState = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + smallJob);
        deployment.recorder.line(
                "scheduled job: %s, %d of its tasks ended done; small job: %s, %d of 2 done; lasting job: %d starts,"
                        + " idle for 3 s: %s; refused transactions: %d",
                scheduledState,
                deployment.fleet.ends(scheduledJob, "done"),
                smallState,
                deployment.fleet.ends(smallJob, "done"),
                deployment.fleet.starts(lastingJob),
                idle,
                deployment.store.refusedTransactions());
        return !idle;
    }
}
