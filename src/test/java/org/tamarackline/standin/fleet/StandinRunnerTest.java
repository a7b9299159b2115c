package org.tamarackline.standin.fleet;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a stand-in runner that takes an end for acknowledged although its leader had lost the lease before. */
class StandinRunnerTest {

    private static final long WAIT_MS = 1_000;

    private final ObjectMapper mapper = new ObjectMapper();
    private final List<String> acknowledged = new ArrayList<>();
    private final StandinRunner runner = new StandinRunner("r1", 1, 1, new RunObserver() {
        @Override
        public void runStarted(String id, String task, long runNumber, long nanos) {}

        @Override
        public void runEnded(String id, String task, long runNumber, String reason, long nanos) {}

        @Override
        public void endAcknowledged(String id, String task, long runNumber) {
            acknowledged.add(task);
        }
    });

    private ObjectNode command(long leaseEndMs) {
        return mapper.createObjectNode().put("fence", 1).put("untilMs", leaseEndMs);
    }

    /** Runs a task to its end and returns the sequence number of the end. */
    private long runTask(long leaseEndMs) throws InterruptedException {
        runner.start(command(leaseEndMs).put("task", "t").put("run", 1).put("spec", ""));
        ObjectNode status = runner.poll(command(leaseEndMs).put("waitMs", WAIT_MS));
        assertThat(status.path("ended").path(0).path(3).asText()).isEqualTo("done");
        return status.path("ended").path(0).path(0).asLong();
    }

    @Test
    void pollAcknowledgesAnEndDuringTheLease() throws InterruptedException {
        long end = runTask(5_000);
        assertThat(acknowledged).isEmpty();
        runner.poll(command(5_000).put("lastSeen", end));
        assertThat(acknowledged).containsExactly("t");
    }

    @Test
    void endBeforeTheExpiryOfTheLeaseIsNotAcknowledgedAfterIt() throws InterruptedException {
        long leaseEndMs = 500;
        long end = runTask(leaseEndMs);
        Thread.sleep(leaseEndMs + 1);
        ObjectNode status = runner.poll(command(5_000).put("lastSeen", end));
        assertThat(status.path("ended")).isEmpty();
        assertThat(acknowledged).isEmpty();
    }
}
