package org.tamarackline.standin.worker;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
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
import org.tamarackline.core.task.WorkerProtocol.TaskReport;
import org.tamarackline.core.task.WorkerProtocol.TaskReportState;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.standin.worker.RunInterval.RunOutcome;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Guards against a stand-in that accepts more than the protocol allows, which would hide a task that runs twice. */
class WorkerModelTest {

    private static final ShardId RACK = new ShardId("rack-1");
    private static final Epoch OLD_EPOCH = new Epoch(3);
    private static final Epoch NEW_EPOCH = new Epoch(4);
    private static final TaskId TASK = TaskId.parse("job.0");
    private static final long LEASE_MS = 20_000;
    private static final Resources HALF_OF_CAPACITY = new Resources(2_000, 500, 0);

    private final ManualClock clock = new ManualClock();
    private final AtomicInteger nonceCount = new AtomicInteger();
    private final WorkerModel model = new WorkerModel(
            new Resources(4_000, 1_000, 0), Duration.ofSeconds(2), clock, () -> "n" + nonceCount.incrementAndGet());

    @Test
    void acceptsStartsOnlyUnderACurrentLeaseOfExactlyThatEpoch() throws Exception {
        RenewResponse first = model.renew(renewRequest(OLD_EPOCH, Optional.empty()));
        assertThat(first.leaseCurrent()).isFalse();
        assertRefused(
                RefusalCode.NO_LEASE, () -> model.start(startRequest(OLD_EPOCH, TASK, 0, 100), 0, Optional.empty()));
        acquireLease(OLD_EPOCH);
        assertRefused(
                RefusalCode.NO_LEASE, () -> model.start(startRequest(NEW_EPOCH, TASK, 0, 100), 0, Optional.empty()));
        assertRefused(
                RefusalCode.FENCED, () -> model.start(startRequest(OLD_EPOCH, TASK, 0, 100), 0, Optional.empty()));
    }

    @Test
    void countsTheLeaseFromTheIssueOfTheNonceSoADelayedRenewalExtendsNothing() throws Exception {
        RenewResponse first = model.renew(renewRequest(OLD_EPOCH, Optional.empty()));
        RenewRequest delayed = renewRequest(OLD_EPOCH, Optional.of(first.nonce()));
        clock.advance(Duration.ofMillis(LEASE_MS + 1));
        assertThat(model.renew(delayed).leaseCurrent()).isFalse();
    }

    @Test
    void ignoresANonceThatWasUsedOrIssuedToAnotherEpoch() throws Exception {
        RenewResponse first = model.renew(renewRequest(OLD_EPOCH, Optional.empty()));
        assertThat(model.renew(renewRequest(NEW_EPOCH, Optional.of(first.nonce())))
                        .leaseCurrent())
                .isFalse();
        RenewResponse usedNonce = acquireLease(NEW_EPOCH);
        clock.advance(Duration.ofMillis(LEASE_MS - 1));
        model.renew(renewRequest(NEW_EPOCH, Optional.of("n1")));
        clock.advance(Duration.ofMillis(2));
        assertThat(model.renew(renewRequest(NEW_EPOCH, Optional.of(usedNonce.nonce())))
                        .leaseCurrent())
                .isFalse();
    }

    @Test
    void endsTasksAtTheEndOfTheLeaseAndKeepsTheirWork() throws Exception {
        acquireLease(OLD_EPOCH);
        model.start(startRequest(OLD_EPOCH, TASK, 0, 60_000), 1_000, Optional.empty());
        clock.advance(Duration.ofMillis(LEASE_MS + 5_000));
        RunInterval run = model.history().getFirst();
        assertThat(run.outcome()).isEqualTo(RunOutcome.LEASE_LAPSED);
        assertThat(run.endWorkMs()).isEqualTo(1_000 + LEASE_MS);
        assertThat(model.pendingUploads())
                .containsExactly(new Upload(TASK, 0, Upload.Kind.CHECKPOINT, 1_000 + LEASE_MS));
    }

    @Test
    void startsAnAttemptOnceAndNeverAfterItsStop() throws Exception {
        acquireLease(OLD_EPOCH);
        model.start(startRequest(OLD_EPOCH, TASK, 2, 1_000), 0, Optional.empty());
        model.start(startRequest(OLD_EPOCH, TASK, 2, 1_000), 0, Optional.empty());
        assertThat(model.history()).hasSize(1);
        assertRefused(
                RefusalCode.ATTEMPT_FORBIDDEN,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 1, 1_000), 0, Optional.empty()));
        assertThat(model.stop(command(OLD_EPOCH, TASK, 4)).state()).isEqualTo(TaskReportState.STOPPED);
        assertRefused(
                RefusalCode.ATTEMPT_FORBIDDEN,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 4, 1_000), 0, Optional.empty()));
        model.forget(command(OLD_EPOCH, TASK, 2));
        assertRefused(
                RefusalCode.ATTEMPT_FORBIDDEN,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 2, 1_000), 0, Optional.empty()));
        model.start(startRequest(OLD_EPOCH, TASK, 5, 1_000), 0, Optional.empty());
        assertThat(model.history()).extracting(RunInterval::attempt).containsExactly(2, 5);
    }

    @Test
    void refusesAnAttemptWhoseStartFailedBecauseADuplicateMayArriveLate() throws Exception {
        acquireLease(OLD_EPOCH);
        assertRefused(
                RefusalCode.START_FAILED,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 0, 1), 0, Optional.of("fault")));
        assertRefused(
                RefusalCode.ATTEMPT_FORBIDDEN,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 0, 1), 0, Optional.empty()));
    }

    @Test
    void refusesAStartThatExceedsTheCapacity() throws Exception {
        acquireLease(OLD_EPOCH);
        model.start(startRequest(OLD_EPOCH, TaskId.parse("job.1"), 0, 1_000), 0, Optional.empty());
        model.start(startRequest(OLD_EPOCH, TaskId.parse("job.2"), 0, 1_000), 0, Optional.empty());
        assertRefused(
                RefusalCode.OVER_CAPACITY,
                () -> model.start(startRequest(OLD_EPOCH, TASK, 0, 1_000), 0, Optional.empty()));
        model.stop(command(OLD_EPOCH, TaskId.parse("job.1"), 0));
        assertThat(model.start(startRequest(OLD_EPOCH, TASK, 1, 1_000), 0, Optional.empty())
                        .state())
                .isEqualTo(TaskReportState.RUNNING);
    }

    @Test
    void isDoneOnlyOnceTheResultIsStored() throws Exception {
        acquireLease(OLD_EPOCH);
        model.start(startRequest(OLD_EPOCH, TASK, 0, 1_000), 400, Optional.empty());
        clock.advance(Duration.ofMillis(601));
        Upload result = model.pendingUploads().getFirst();
        assertThat(model.report(TASK, 0).map(TaskReport::state)).contains(TaskReportState.RUNNING);
        model.recordUpload(result);
        TaskReport done = model.report(TASK, 0).orElseThrow();
        assertThat(done.state()).isEqualTo(TaskReportState.DONE);
        assertThat(done.resultKey()).contains(result.key());
    }

    @Test
    void reportsMeasurementsOnlyAfterTheLag() throws Exception {
        acquireLease(OLD_EPOCH);
        model.start(startRequest(OLD_EPOCH, TASK, 0, 60_000), 0, Optional.empty());
        clock.advance(Duration.ofMillis(600));
        assertThat(model.renew(renewRequest(OLD_EPOCH, Optional.empty())).usage())
                .isEmpty();
        clock.advance(Duration.ofMillis(2_100));
        assertThat(model.renew(renewRequest(OLD_EPOCH, Optional.empty())).usage())
                .singleElement()
                .satisfies(sample -> assertThat(sample.takenAgoMs()).isGreaterThanOrEqualTo(2_000));
    }

    private RenewResponse acquireLease(Epoch epoch) throws CommandRefusedException {
        RenewResponse first = model.renew(renewRequest(epoch, Optional.empty()));
        RenewResponse second = model.renew(renewRequest(epoch, Optional.of(first.nonce())));
        assertThat(second.leaseCurrent()).isTrue();
        return first;
    }

    private static RenewRequest renewRequest(Epoch epoch, Optional<String> nonce) {
        return new RenewRequest(RACK, epoch, nonce, LEASE_MS);
    }

    private static StartRequest startRequest(Epoch epoch, TaskId task, int attempt, long workMs) {
        return new StartRequest(
                RACK,
                epoch,
                task,
                attempt,
                JsonNodeFactory.instance.objectNode().put("workMs", workMs),
                HALF_OF_CAPACITY,
                Optional.empty(),
                true);
    }

    private static TaskCommand command(Epoch epoch, TaskId task, int attempt) {
        return new TaskCommand(RACK, epoch, task, attempt, 0);
    }

    private static void assertRefused(RefusalCode code, ThrowingCallable call) {
        assertThatExceptionOfType(CommandRefusedException.class)
                .isThrownBy(call)
                .satisfies(refused -> assertThat(refused.refusal().code()).isEqualTo(code));
    }
}
