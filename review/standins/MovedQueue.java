import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A job that waits when its queue is moved to another service is never started there. */
final class MovedQueue {

    private static final int RUNNERS = 6;
    private static final String NEW_SERVICE = "tasselbench-next";
    private static final long FINISH_MS = 14_000;

    private MovedQueue() {}

    static boolean run(Deployment deployment, boolean trouble) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            deployment.fleet.add("runner-" + i, Deployment.SERVICE, 16_000, "a", "r1-0");
            deployment.fleet.add("next-" + i, NEW_SERVICE, 16_000, "a", "r1-1");
        }
        Deployment.Queue standing = new Deployment.Queue("standing", "/standing/", Deployment.SERVICE);
        Deployment.Queue next = new Deployment.Queue("next", "/next/", NEW_SERVICE);
        Deployment.Queue work = new Deployment.Queue("work", Deployment.PREFIX, Deployment.SERVICE);
        deployment.start(3, 3, List.of(standing, next, work));

        // Lasting tasks fill the runners of the old service.
        String lastingJob = Deployment.id(1);
        ObjectNode lasting = Deployment.job();
        Deployment.addStep(lasting, RUNNERS, 16_000, 0).put("longRunning", true);
        deployment.fleet.define(lastingJob, 0, new Fleet.Work(16_000, 1, true, 0));
        submit(deployment, "/standing/" + lastingJob, lasting);
        Thread.sleep(2_000);

        String waitingJob = Deployment.id(2);
        String laterJob = Deployment.id(3);
        ObjectNode body = Deployment.job();
        Deployment.addStep(body, 2, 1_000, 1_000);
        deployment.fleet.define(waitingJob, 0, new Fleet.Work(1_000, 1_000, false, 0));
        deployment.fleet.define(laterJob, 0, new Fleet.Work(1_000, 1_000, false, 0));
        submit(deployment, Deployment.PREFIX + waitingJob, body);
        Thread.sleep(1_000);
        String service = Deployment.SERVICE;
        if (trouble) {
            service = NEW_SERVICE;
            deployment.configure(
                    5, 3, List.of(standing, next, new Deployment.Queue("work", Deployment.PREFIX, NEW_SERVICE)));
        }
        Thread.sleep(3_000);
        submit(deployment, Deployment.PREFIX + laterJob, body);
        Thread.sleep(FINISH_MS);
        boolean idle = true;
        for (int i = 0; i < 30; i++) {
            idle &= deployment.fleet.running(waitingJob) == 0 && deployment.fleet.use(service) < 0.5;
            Thread.sleep(100);
        }
        String state = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + waitingJob);
        String laterState = deployment.requester.state(0, Deployment.HOST, Deployment.PREFIX + laterJob);
        deployment.recorder.line(
                "waiting job: %s, %d starts; idle for 3 s with capacity on %s: %s; later job: %s",
                state, deployment.fleet.starts(waitingJob), service, idle, laterState);
        return !(idle && !state.equals("completed"));
    }

    private static void submit(Deployment deployment, String path, ObjectNode body) throws InterruptedException {
        if (!deployment.requester.submit(Deployment.HOST, path, body)) {
            throw new IllegalStateException(path + " was not accepted");
        }
    }
}
