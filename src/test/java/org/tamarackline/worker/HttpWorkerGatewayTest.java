package org.tamarackline.worker;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.WorkerProtocol.RefusalCode;
import org.tamarackline.core.task.WorkerProtocol.RenewRequest;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.core.task.WorkerProtocol.StartRequest;
import org.tamarackline.core.task.WorkerProtocol.TaskCommand;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.load.PortReservations;
import org.tamarackline.standin.worker.StandinWorker;
import org.tamarackline.standin.worker.WorkerFaults;
import org.tamarackline.standin.worker.WorkerOptions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Guards against calls that fail on a worker's real protocol or report the wrong outcome of a command. */
class HttpWorkerGatewayTest {

    private static final ShardId RACK = new ShardId("rack:a:1");
    private static final TaskId TASK = TaskId.parse("job.0");
    private static final long LEASE_MS = 20_000;

    private static final Duration SILENCE_TIMEOUT = Duration.ofMillis(500);
    /** Not reached by a worker that responds: its first response in a process waits for the loading of its classes. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

    private final HttpWorkerGateway gateway = new HttpWorkerGateway(RESPONSE_TIMEOUT);
    private StandinWorker worker;

    @BeforeEach
    void startWorker() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        worker = StandinWorker.start(
                new WorkerOptions(anyPort, "http://127.0.0.1:1", new Resources(4_000, 8_000, 0), Duration.ZERO));
    }

    @AfterEach
    void close() throws Exception {
        gateway.close();
        worker.close();
    }

    private RenewResponse renew(long epoch, Optional<String> nonce) throws WorkerException {
        return gateway.renew(worker.address(), new RenewRequest(RACK, new Epoch(epoch), nonce, LEASE_MS));
    }

    private void start(long epoch) throws WorkerException {
        start(gateway, epoch);
    }

    private void start(HttpWorkerGateway caller, long epoch) throws WorkerException {
        caller.start(
                worker.address(),
                new StartRequest(
                        RACK,
                        new Epoch(epoch),
                        TASK,
                        1,
                        JsonNodeFactory.instance.objectNode().put("workMs", 60_000),
                        new Resources(1_000, 1_000, 0),
                        Optional.empty(),
                        true));
    }

    private static TaskCommand command(long epoch) {
        return new TaskCommand(RACK, new Epoch(epoch), TASK, 1, 100);
    }

    /** Guards against messages that a worker encodes or decodes differently than the gateway. */
    @Test
    void runsAndStopsATaskUnderALease() throws Exception {
        RenewResponse first = renew(3, Optional.empty());
        assertThat(first.leaseCurrent()).isFalse();
        assertThat(renew(3, Optional.of(first.nonce())).leaseCurrent()).isTrue();
        start(3);
        assertThat(renew(3, Optional.empty()).tasks())
                .singleElement()
                .satisfies(report -> assertThat(report.state()).isEqualTo(TaskReportState.RUNNING));
        assertThat(gateway.stop(worker.address(), command(3)).state()).isEqualTo(TaskReportState.STOPPED);
        gateway.forget(worker.address(), command(3));
        assertThat(renew(3, Optional.empty()).tasks()).isEmpty();
    }

    /** Guards against a refusal that is reported as an unknown outcome, and the reverse. */
    @Test
    void tellsRefusalsApart() throws Exception {
        renew(3, Optional.empty());
        assertRefused(RefusalCode.NO_LEASE, () -> start(3));
        assertRefused(RefusalCode.FENCED, () -> renew(2, Optional.empty()));
        assertRefused(RefusalCode.UNKNOWN_TASK, () -> gateway.checkpoint(worker.address(), command(3)));
    }

    private static void assertRefused(RefusalCode code, org.assertj.core.api.ThrowableAssert.ThrowingCallable call) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        WorkerRefusedException.class,
                        refused -> assertThat(refused.code()).isEqualTo(code));
    }

    /** Guards against a start that is repeated on another worker although the silent worker may have executed it. */
    @Test
    void reportsSilenceAndErrorsOutsideTheProtocolAsUnknown() throws Exception {
        worker.setFaults(new WorkerFaults(false, true, 0, false, 0));
        try (HttpWorkerGateway impatient = new HttpWorkerGateway(SILENCE_TIMEOUT)) {
            assertThatThrownBy(() -> start(impatient, 3)).isInstanceOf(WorkerOutcomeUnknownException.class);
        }
        worker.setFaults(new WorkerFaults(false, false, 0, true, 0));
        assertThatThrownBy(() -> start(3)).isInstanceOf(WorkerOutcomeUnknownException.class);
    }

    /** Guards against waiting for the expiry of a lease although the command was never sent. */
    @Test
    void reportsAClosedPortAsUnreachable() throws Exception {
        try (PortReservations ports = new PortReservations()) {
            int port = ports.reserve();
            assertThatThrownBy(() -> gateway.stop("127.0.0.1:" + port, command(3)))
                    .isInstanceOf(WorkerUnreachableException.class);
        }
    }
}
