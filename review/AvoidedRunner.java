import com.fasterxml.jackson.databind.node.ObjectNode;

/** A task fails once on the only runner with its label and is never started again. */
final class AvoidedRunner {

    private static final int RUNNERS = 12;
    private static final long GREY_MS = 5_000;
    private static final long FINISH_MS = 14_000;

    private AvoidedRunner() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        Fleet.Runner labelled = null;
        for (int i = 0; i < RUNNERS; i++) {
            boolean last = i == RUNNERS - 1;
            Fleet.Runner runner = deployment.fleet.add(
                    "runner-" + i, Deployment.SERVICE, 16_000, last ? "b" : "a", "r1-" + i / 8);
            labelled = last ? runner : labelled;
        }
        deployment.start(3, 3);
        String labelledJob = Deployment.id(1);
        ObjectNode labelledBody = Deployment.job();
        Deployment.addStep(labelledBody, 1, 1_000, 1_000).put("requirements", "b");
        deployment.fleet.define(labelledJob, 0, new Fleet.Work(1_000, 1_000, false, 0));
        if (trouble) {
            labelled.setFailing(true);
        }
        if (!deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + labelledJob, labelledBody)) {
            throw new IllegalStateException("the job was not accepted");
        }
        Thread.sleep(GREY_MS);
        if (trouble) {
            labelled.setFailing(false);
        }
        // The same service goes on to run other jobs with this label.
        String laterJob = Deployment.id(2);
        deployment.fleet.define(laterJob, 0, new Fleet.Work(1_000, 1_000, false, 0));
        if (!deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + laterJob, labelledBody)) {
            throw new IllegalStateException("the later job was not accepted");
        }
        Thread.sleep(FINISH_MS);
        // For 3 s: nothing runs, there is capacity, and less than half of it is in use.
        int startsBefore = deployment.fleet.starts(labelledJob);
        boolean idle = true;
        for (int i = 0; i < 30; i++) {
            idle &= deployment.fleet.running(labelledJob) == 0 && deployment.fleet.use(Deployment.SERVICE) < 0.5;
            Thread.sleep(100);
        }
        idle &= deployment.fleet.starts(labelledJob) == startsBefore;
        String state = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + labelledJob);
        String laterState = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + laterJob);
        deployment.recorder.line(
                "job %s: %s, %d starts, %d failed; nothing ran for 3 s: %s; later job: %s",
                labelledJob,
                state,
                deployment.fleet.starts(labelledJob),
                deployment.fleet.ends(labelledJob, "failed"),
                idle,
                laterState);
        boolean open = state.equals("running") || state.equals("queued");
        boolean attemptsLeft = deployment.fleet.ends(labelledJob, "failed") < 3;
        return !(open && idle && attemptsLeft);
    }
}
