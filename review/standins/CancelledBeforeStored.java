import com.fasterxml.jackson.databind.node.ObjectNode;

/** A submission is stored late, after the requester has cancelled the job and was answered. */
final class CancelledBeforeStored {

    private static final int RUNNERS = 12;
    private static final double CANCEL_S = 3.0;
    private static final double CONTACT_S = 3.0;
    private static final long LATE_MS = 2_000;

    private CancelledBeforeStored() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            deployment.fleet.add("runner-" + i, Deployment.SERVICE, 16_000, "a", "r1-" + i / 8);
        }
        deployment.start(3, 3);
        String job = Deployment.id(1);
        ObjectNode body = Deployment.job();
        for (int step = 0; step < 4; step++) {
            ObjectNode definition = Deployment.addStep(body, 4, 500, 1_700);
            if (step > 0) {
                definition.putArray("after").add(step - 1);
            }
            deployment.fleet.define(job, step, new Fleet.Work(500, 1_700, false, 0));
        }
        if (trouble) {
            deployment.store.loseAnswers(
                    transaction -> {
                        for (var write : transaction.path("writes")) {
                            if (write.path("key").asText().equals(job)) {
                                return true;
                            }
                        }
                        return false;
                    },
                    LATE_MS);
        }
        Requester.Answer submitted =
                deployment.requester.send(0, "POST", Deployment.HOST, Deployment.PREFIX + job, body);
        deployment.store.answerAll();
        if (trouble == (submitted.status() == 200)) {
            throw new IllegalStateException("the submission was answered with " + submitted.status());
        }
        Requester.Answer cancelled =
                deployment.requester.send(1, "DELETE", Deployment.HOST, Deployment.PREFIX + job, null);
        double cancelledAt = deployment.recorder.now();
        boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
        if (!acknowledged) {
            throw new IllegalStateException("the cancellation was answered with " + cancelled.status());
        }
        Thread.sleep(14_000);
        String state = deployment.requester.state(2, Deployment.HOST, Deployment.PREFIX + job);
        // The nodes are in touch once the store has been without trouble for contactMs.
        double bound = Math.max(cancelledAt + CANCEL_S, cancelledAt + LATE_MS / 1e3 + CONTACT_S);
        deployment.recorder.line(
                "cancelling acknowledged with %d at %.3f; no start is allowed after %.3f; last start at %.3f; %d tasks ended"
                        + " done; state %s",
                cancelled.status(),
                cancelledAt,
                bound,
                deployment.fleet.lastStart(job),
                deployment.fleet.ends(job, "done"),
                state);
        return deployment.fleet.lastStart(job) <= bound;
    }
}
