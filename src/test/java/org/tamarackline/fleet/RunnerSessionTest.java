package org.tamarackline.fleet;

import java.io.OutputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Job;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.RunnerCommand;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.StopCause;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/** Tests when a session considers its runner silent and when the runner's lease expires. */
class RunnerSessionTest {

    private int unansweredStarts;
    private boolean maySendCommands = true;
    private final ManualLoop loop = new ManualLoop();
    private final FakeRunnerCalls calls = new FakeRunnerCalls(loop);
    private final DecisionLog log =
            new DecisionLog(new LineSink(OutputStream.nullOutputStream()), InstantSource.system(), loop, "node");
    private final Fleet fleet = new Fleet(1, log, loop);
    private final RunnerDescriptor descriptor = new RunnerDescriptor(
            "r", 1, "dispatch", "10.0.0.1:80", "dc", "", false, new Resources(16_000, 64_000, 0), Set.of());
    private final FleetRunner runner = fleet.runnerRegistered(descriptor);
    private final RunnerSession session = new RunnerSession(
            new LeaderContext(loop, calls, fleet, log, FleetMetrics.NONE, LeaseLimits.distant(loop)),
            new FakeLeader(),
            1,
            runner,
            false,
            loop.nowNanos());

    private final class FakeLeader implements RunnerSession.Callbacks {

        @Override
        public boolean maySendCommands() {
            return maySendCommands;
        }

        @Override
        public void onFenced(String id) {
            throw new AssertionError("no runner fences commands in this test");
        }

        @Override
        public boolean confirmedSince(long nanos) {
            return true;
        }

        @Override
        public void requestConfirmation() {
            session.onLeadershipConfirmed();
        }

        @Override
        public void requestDirectoryRead() {}

        @Override
        public void requestSchedulingRound() {}

        @Override
        public void onStartSent() {
            unansweredStarts++;
        }

        @Override
        public void onStartCompleted() {
            unansweredStarts--;
        }
    }

    private void startLongRunningTask() {
        startLongRunningTasks(1);
    }

    private void startLongRunningTasks(int count) {
        for (int i = 0; i < count; i++) {
            fleet.jobs().add(JobDefinitions.longRunningTask("j" + i), JobProgress.NONE, false, 0);
        }
        startReadyTasks();
    }

    /** Stores the placement of the tasks that are ready, and starts them. */
    private void startReadyTasks() {
        assertThat(fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE)).isEmpty();
        Optional<Job> job = fleet.jobs().takeDirtyJob();
        while (job.isPresent()) {
            fleet.pendingStarts().markStored(fleet.pendingStarts().unstored(job.get()));
            job = fleet.jobs().takeDirtyJob();
        }
        for (RunnerCommand command : fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE)) {
            session.send(command);
        }
    }

    /** Guards against a dead runner whose lease never expires, because unanswered polls seem to renew it. */
    @Test
    void unansweredPollsDoNotExtendTheLease() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        startLongRunningTask();
        assertThat(unansweredStarts).isEqualTo(1);
        loop.advance(Duration.ofSeconds(3));
        assertThat(unansweredStarts).isZero();
        assertThat(runner.busy()).isTrue();
        assertThat(session.leaseExpired()).isFalse();
        calls.stopResponding();
        loop.advance(FleetConstants.RUNNER_LEASE.plusSeconds(3));
        assertThat(session.silent()).isTrue();
        assertThat(session.leaseExpired()).isTrue();
    }

    /** Guards against a lease that the first poll after an unanswered start extends by up to the interval of idle polls. */
    @Test
    void pollAfterAnUnansweredStartDoesNotExtendTheLease() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        startLongRunningTask();
        assertThat(calls.starts()).hasSize(1);
        loop.advance(FleetConstants.MAX_RUNNER_LEASE.plusMillis(500));
        assertThat(session.silent()).isTrue();
        assertThat(session.leaseExpired()).isTrue();
    }

    /**
     * Guards against the full wait for earlier leaders on a runner that falls silent after it has answered this leader.
     */
    @Test
    void responseOfTheRunnerEndsTheLongerWaitForEarlierLeaders() {
        long waitEndNanos = loop.nowNanos() + Duration.ofSeconds(13).toNanos();
        RunnerSession inherited = new RunnerSession(
                new LeaderContext(loop, calls, fleet, log, FleetMetrics.NONE, LeaseLimits.distant(loop)),
                new FakeLeader(),
                1,
                runner,
                true,
                waitEndNanos);
        inherited.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        loop.advance(FleetConstants.RUNNER_LEASE.plusSeconds(1));
        assertThat(inherited.leaseExpired()).isTrue();
    }

    /** Guards against cordoning a runner because of a single broken connection. */
    @Test
    void answerAfterABrokenConnectionIsNotOverdue() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.refuseConnections("r");
        loop.advance(FleetConstants.IDLE_POLL_INTERVAL.minusMillis(100));
        assertThat(session.silent()).isTrue();
        calls.resumeResponding("r");
        for (int i = 0; i < 1_000; i++) {
            loop.advance(Duration.ofMillis(1));
            assertThat(session.answerOverdue()).isFalse();
        }
        assertThat(session.silent()).isFalse();
    }

    /** Guards against a runner that is cordoned again and again, and gets no renewal, because it always answers late. */
    @Test
    void answersThatAreAlwaysLateAreOverdueOnce() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        startLongRunningTask();
        calls.delayPollResponses(Duration.ofMillis(700));
        int changes = 0;
        boolean overdue = false;
        for (int i = 0; i < 20_000; i++) {
            loop.advance(Duration.ofMillis(1));
            changes += session.answerOverdue() && !overdue ? 1 : 0;
            overdue = session.answerOverdue();
        }
        assertThat(changes).isEqualTo(1);
    }

    /** Guards against a lost runner that is cordoned late, so that a successor waits for it longer than this leader. */
    @Test
    void answerOfALostRunnerIsOverdueSoon() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        startLongRunningTask();
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        long stoppedNanos = loop.nowNanos();
        for (int i = 0; i < 5_000 && !session.answerOverdue(); i++) {
            loop.advance(Duration.ofMillis(1));
        }
        // The poll that was sent before is still answered, and the next one waits at the runner.
        Duration longest = Duration.ofMillis(2 * FleetConstants.POLL_WAIT_MS)
                .plus(FleetConstants.CORDON_AFTER_OVERDUE)
                .plusMillis(10);
        assertThat(Duration.ofNanos(loop.nowNanos() - stoppedNanos))
                .isBetween(FleetConstants.CORDON_AFTER_OVERDUE, longest);
    }

    /** Guards against a start that a runner executes although it was idle, unreachable or restarted since its last poll. */
    @Test
    void startIsNotSentToARunnerThatNoLongerAnswers() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.stopResponding();
        startLongRunningTask();
        loop.advance(Duration.ofSeconds(2));
        assertThat(calls.starts()).isEmpty();
        assertThat(runner.busy()).isFalse();
        assertThat(session.silent()).isTrue();
        assertThat(unansweredStarts).isZero();
    }

    /** Guards against a start to a process that has taken over while the answer of the earlier one was on its way. */
    @Test
    void answerThatIsOlderThanARestartSendsNoStart() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.delayPollResponses(Duration.ofMillis(800));
        startLongRunningTask();
        loop.advance(Duration.ofMillis(900));
        assertThat(calls.starts()).isEmpty();
        assertThat(unansweredStarts).isZero();
        assertThat(runner.busy()).isFalse();
    }

    /** Guards against starts that are placed again and again on a runner which answers too late for them to be sent. */
    @Test
    void lateRunnerGetsNoFurtherStartsForSomeTime() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.delayPollResponses(Duration.ofMillis(800));
        startLongRunningTask();
        loop.advance(Duration.ofMillis(900));
        fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE);
        assertThat(runner.busy()).isFalse();
        loop.advance(Duration.ofSeconds(1));
        fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE);
        assertThat(runner.busy()).isTrue();
    }

    /** Guards against a start on a runner that announced its end while its process was being verified. */
    @Test
    void startIsNotSentToARunnerThatDrainsDuringTheVerification() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.delayPollResponses(Duration.ofMillis(100));
        startLongRunningTask();
        loop.advance(Duration.ofMillis(50));
        fleet.runnerRegistered(descriptor.asDraining());
        loop.advance(Duration.ofMillis(100));
        assertThat(calls.starts()).isEmpty();
        assertThat(unansweredStarts).isZero();
        assertThat(runner.busy()).isFalse();
    }

    /** Guards against a poll for each start, which would double the calls of a leader that starts many tasks. */
    @Test
    void startsToOneRunnerShareAPoll() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        int polls = calls.polls();
        startLongRunningTasks(3);
        loop.advance(Duration.ofMillis(1));
        assertThat(calls.starts()).hasSize(3);
        assertThat(calls.polls()).isLessThanOrEqualTo(polls + 2);
    }

    /** Guards against starts that wait for the verification of the process although it could run during the transaction. */
    @Test
    void preparedStartIsSentAtOnce() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        session.prepareStart();
        loop.advance(Duration.ofMillis(10));
        startLongRunningTask();
        assertThat(calls.starts()).hasSize(1);
    }

    /**
     * Guards against a second run of a task on a restarted runner that moved, if the runner which has its earlier address by
     * now answers an older poll late.
     */
    @Test
    void answerOfAnotherRunnerToAPollOfTheEarlierProcessDoesNotEndTheNewOne() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.replaceNextPollAnswer(Duration.ofMillis(900));
        session.pollNow();
        loop.advance(Duration.ofMillis(1));
        calls.restart("r");
        startLongRunningTask();
        fleet.runnerRegistered(calls.entryOfProcess(descriptor));
        loop.advance(Duration.ofMillis(100));
        startReadyTasks();
        loop.advance(Duration.ofMillis(100));
        assertThat(calls.starts()).hasSize(1);
        loop.advance(Duration.ofMillis(800));
        assertThat(session.silent()).isFalse();
        assertThat(session.leaseExpired()).isFalse();
        assertThat(runner.busy()).isTrue();
    }

    /** Guards against new tasks on a runner that does not respond. */
    @Test
    void silentRunnerGetsNoNewTasks() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        loop.advance(FleetConstants.IDLE_POLL_INTERVAL.plusSeconds(2));
        startLongRunningTask();
        assertThat(runner.busy()).isFalse();
    }

    /** Guards against a run of a cancelled job that goes on because each of its stops meets a connection gone silent. */
    @Test
    void stopIsRepeatedOnANewConnection() {
        TaskKey task = new TaskKey("ended", 0, 0, 0);
        session.send(new RunnerCommand.Stop(runner, task, 1, StopCause.KNOWN_RUN, 1));
        session.send(new RunnerCommand.Stop(runner, task, 1, StopCause.KNOWN_RUN, 2));
        assertThat(calls.stops())
                .containsExactly(new FakeRunnerCalls.SentStop(task, false), new FakeRunnerCalls.SentStop(task, true));
    }

    /** Guards against a runner that only runs what must end, and is polled like one without runs. */
    @Test
    void runnerWithARunThatIsNotKnownIsPolledSoon() {
        calls.addRun("r", new TaskKey("ended", 0, 0, 0), 1);
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        int polls = calls.polls();
        loop.advance(Duration.ofSeconds(1));
        assertThat(calls.polls()).isGreaterThanOrEqualTo(polls + 3);
        assertThat(calls.renewals()).isEmpty();
    }

    /** Guards against a sound runner whose lease expires because each poll meets a connection gone silent. */
    @Test
    void unansweredPollIsRepeatedOnANewConnection() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        int answeredPolls = calls.polls();
        session.pollNow();
        loop.advance(Duration.ofMillis(2_500));
        assertThat(calls.pollsOnNewConnections()).isPositive();
        assertThat(calls.polls() - calls.pollsOnNewConnections()).isEqualTo(answeredPolls + 1);
    }

    /** Guards against a poll without an answer that is repeated only at the later time for which one was scheduled. */
    @Test
    void unansweredPollIsRepeatedSoonAlthoughALaterOneIsScheduled() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.stopResponding();
        session.pollNow();
        int polls = calls.polls();
        loop.advance(Duration.ofMillis(1_500));
        assertThat(calls.polls()).isGreaterThan(polls);
    }

    /** Guards against a second run of a task whose start reaches a process that knows nothing of the stop. */
    @Test
    void stopConfirmedByTheEarlierProcessDoesNotCountForTheNewOne() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.loseStartResponses();
        startLongRunningTask();
        loop.advance(Duration.ofMillis(1_100));
        fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE).forEach(session::send);
        assertThat(calls.stops()).hasSize(1);
        loop.advance(Duration.ofMillis(500));
        calls.restart("r");
        // Several polls, each of which the runner answers after a second.
        loop.advance(Duration.ofSeconds(4));
        assertThat(runner.busy()).isTrue();
    }

    /** Polls the runner, and starts a task over a connection that has just gone silent. */
    private void startOverASilentConnection() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.silenceOpenConnections();
        startLongRunningTask();
        assertThat(calls.starts()).hasSize(1);
    }

    private List<RunnerCommand> commandsInTheNextSeconds() {
        List<RunnerCommand> commands = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            loop.advance(Duration.ofMillis(100));
            commands.addAll(fleet.schedule(loop.nowNanos(), 0, Integer.MAX_VALUE));
        }
        return commands;
    }

    /** Guards against a start that waits for the timeout of a poll which met a connection gone silent. */
    @Test
    void verificationWithoutAnAnswerIsRepeatedOnANewConnection() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(500));
        calls.silenceOpenConnections();
        startLongRunningTask();
        loop.advance(Duration.ofMillis(450));
        assertThat(calls.pollsOnNewConnections()).isEqualTo(1);
        assertThat(calls.starts()).hasSize(1);
    }

    /** Guards against a long-running task that stands until the timeout of a start which met a connection gone silent. */
    @Test
    void startWithoutAnAnswerIsRepeatedOnANewConnection() {
        startOverASilentConnection();
        loop.advance(Duration.ofMillis(450));
        assertThat(calls.starts())
                .extracting(FakeRunnerCalls.SentStart::runNumber, FakeRunnerCalls.SentStart::onNewConnection)
                .containsExactly(tuple(1L, false), tuple(1L, true));
        assertThat(unansweredStarts).isZero();
        assertThat(commandsInTheNextSeconds()).isEmpty();
        assertThat(unansweredStarts).isZero();
        assertThat(runner.busy()).isTrue();
        assertThat(session.leaseExpired()).isFalse();
    }

    /** Guards against a second start to a runner that announced its end after the first one. */
    @Test
    void startIsNotRepeatedToARunnerThatDrains() {
        startOverASilentConnection();
        fleet.runnerRegistered(descriptor.asDraining());
        loop.advance(Duration.ofSeconds(2));
        assertThat(calls.starts()).hasSize(1);
    }

    /** Guards against a second start by a leader whose lease has ended after the first one. */
    @Test
    void startIsNotRepeatedByALeaderThatMayNotSendCommands() {
        startOverASilentConnection();
        maySendCommands = false;
        loop.advance(Duration.ofSeconds(2));
        assertThat(calls.starts()).hasSize(1);
        assertThat(unansweredStarts).isZero();
    }

    /** Guards against a second run on a restarted process, which does not know the first attempt. */
    @Test
    void startIsNotRepeatedToAnotherProcess() {
        startOverASilentConnection();
        calls.restart("r");
        loop.advance(Duration.ofMillis(1_050));
        assertThat(calls.starts()).hasSize(1);
        assertThat(runner.busy()).isTrue();
    }

    /** Guards against a second run on a restarted process that the leader has learned of since the first attempt. */
    @Test
    void startIsNotRepeatedToAProcessLearnedSince() {
        session.schedulePoll(Duration.ZERO);
        loop.advance(Duration.ofMillis(100));
        calls.loseStartResponses();
        startLongRunningTask();
        calls.restart("r");
        loop.advance(Duration.ofMillis(300));
        session.prepareStart();
        loop.advance(Duration.ofMillis(400));
        assertThat(runner.processStartEpochMs()).isEqualTo(2);
        assertThat(calls.starts()).hasSize(1);
    }

    /** Guards against a second start of a run that a stop has been decided for. */
    @Test
    void startOfACancelledJobIsNotRepeated() {
        startOverASilentConnection();
        fleet.jobs().cancel("j0");
        loop.advance(Duration.ofSeconds(2));
        assertThat(calls.starts()).hasSize(1);
    }

    /** Guards against a second run of a task whose first start is executed after the second one was refused. */
    @Test
    void runWhoseRepeatedStartIsRefusedIsStopped() {
        calls.answerStartsOnNewConnections(StartResult.NO_ROOM);
        startOverASilentConnection();
        loop.advance(Duration.ofMillis(500));
        assertThat(calls.starts()).hasSize(2);
        assertThat(runner.busy()).isTrue();
        assertThat(commandsInTheNextSeconds()).first().isInstanceOf(RunnerCommand.Stop.class);
        assertThat(runner.busy()).isTrue();
        assertThat(unansweredStarts).isZero();
    }

    /** Guards against a run that is given up while its first start may still be executed by the replaced process. */
    @Test
    void runIsKeptUntilItsRunnerIsLostIfTheRepeatedStartMeetsAnotherRunner() {
        calls.answerStartsOnNewConnections(StartResult.RUNNER_REPLACED);
        startOverASilentConnection();
        loop.advance(Duration.ofMillis(450));
        assertThat(calls.starts()).hasSize(2);
        assertThat(runner.busy()).isTrue();
        assertThat(session.silent()).isTrue();
        assertThat(unansweredStarts).isZero();
    }
}
