import com.fasterxml.jackson.databind.node.ObjectNode;

/** Two members of a gang fail in one run, which counts as two attempts. */
final class GangAttempts {

    private static final int RUNNERS = 12;
    private static final int MEMBERS = 24;
    private static final int MAX_ATTEMPTS = 2;

    private GangAttempts() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        Fleet.Runner first = null;
        for (int i = 0; i < RUNNERS; i++) {
            Fleet.Runner runner =
                    deployment.fleet.add("runner-" + i, Deployment.SERVICE, 16_000, "a", "r1-" + i / 8);
            first = first == null ? runner : first;
        }
        deployment.start(3, MAX_ATTEMPTS);
        String job = Deployment.id(1);
        ObjectNode body = Deployment.job();
        Deployment.addStep(body, MEMBERS, 2_000, 1_000).put("gang", true);
        deployment.fleet.define(job, 0, new Fleet.Work(2_000, 1_000, false, MEMBERS));
        if (trouble) {
            first.setFailing(true);
        }
        if (!deployment.requester.submit(Deployment.HOST, Deployment.PREFIX + job, body)) {
            throw new IllegalStateException("the job was not accepted");
        }
        Thread.sleep(5_000);
        if (trouble) {
            first.setFailing(false);
        }
        Thread.sleep(14_000);
        String state = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + job);
        int runs = deployment.fleet.starts(job) / MEMBERS;
        deployment.recorder.line(
                "job %s: %s after %d runs of the gang; %d members ended failed, %d broken",
                job, state, runs, deployment.fleet.ends(job, "failed"), deployment.fleet.ends(job, "broken"));
        return !(state.equals("failed") && runs < MAX_ATTEMPTS);
    }
}
