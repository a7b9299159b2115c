import com.fasterxml.jackson.databind.node.ObjectNode;

/** A submission is read by a frozen node once it wakes, after the requester has cancelled the job and was answered. */
final class CancelledBeforeStored {

    private static final int RUNNERS = 12;
    private static final int STEPS = 4;
    private static final int FROZEN_NODE = 2;
    private static final long FREEZE_MS = 3_800;
    private static final double CANCEL_S = 3.0;
    private static final double CONTACT_S = 3.0;

    private CancelledBeforeStored() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            deployment.fleet.add("runner-" + i, Deployment.SERVICE, 16_000, "a", "r1-" + i / 8);
        }
        deployment.start(3, 3);
        Thread.sleep(2_000);
        String path = Deployment.PREFIX + Deployment.id(1);
        ObjectNode body = Deployment.job();
        for (int step = 0; step < STEPS; step++) {
            ObjectNode definition = Deployment.addStep(body, 4, 500, 1_700);
            if (step > 0) {
                definition.putArray("after").add(step - 1);
            }
            deployment.fleet.define(Deployment.id(1), step, new Fleet.Work(500, 1_700, false, 0));
        }
        if (trouble) {
            deployment.nodes.signal(FROZEN_NODE, "STOP");
        }
        long frozenNanos = System.nanoTime();
        Requester.Answer submitted =
                deployment.requester.send(FROZEN_NODE, "POST", Deployment.HOST, path, body);
        if (trouble == (submitted.status() == 200)) {
            throw new IllegalStateException("the submission was answered with " + submitted.status());
        }
        Requester.Answer cancelled = deployment.requester.send(1, "DELETE", Deployment.HOST, path, null);
        double cancelledAt = deployment.recorder.now();
        if (cancelled.status() / 100 != 2 && cancelled.status() != 410) {
            throw new IllegalStateException("the cancellation was answered with " + cancelled.status());
        }
        long frozenMs = (System.nanoTime() - frozenNanos) / 1_000_000;
        Thread.sleep(Math.max(0, FREEZE_MS - frozenMs));
        if (trouble) {
            deployment.nodes.signal(FROZEN_NODE, "CONT");
        }
        double wokenAt = deployment.recorder.now();
        Thread.sleep(14_000);
        String state = deployment.requester.state(0, Deployment.HOST, path);
        // The frozen node is in touch again contactMs after it woke, the others all the while.
        double bound = Math.max(cancelledAt + CANCEL_S, wokenAt + CONTACT_S);
        double lastStart = deployment.fleet.lastStart(Deployment.id(1));
        deployment.recorder.line(
                "cancelling acknowledged with %d at %.3f; no start is allowed after %.3f; last start at %.3f; %d tasks ended"
                        + " done; state %s",
                cancelled.status(),
                cancelledAt,
                bound,
                lastStart,
                deployment.fleet.ends(Deployment.id(1), "done"),
                state);
        return lastStart <= bound;
    }
}
