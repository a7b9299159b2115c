package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.HeldEnd;
import org.tamarackline.core.fleet.ProcessedEnds;
import org.tamarackline.core.fleet.RunnerCommand;

/** Communication of a leader with one runner: sends commands, polls the runner's status, and tracks its lease. */
final class RunnerSession implements RunStarter.Session {

    /** Callbacks of a session to its leader. */
    interface Callbacks {

        /** Returns whether commands may be sent. */
        boolean maySendCommands();

        /** A start request was sent. */
        void onStartSent();

        /** A start request got its response, or will not get one any more. */
        void onStartCompleted();

        /** The runner has seen a higher epoch. */
        void onFenced(String runner);

        /** Returns whether the store confirmed the leader by a request sent no earlier than {@code nanos}. */
        boolean confirmedSince(long nanos);

        /** Requests that the store confirm the leader soon. */
        void requestConfirmation();

        /** Requests a read of the directory soon, because the entry of a runner is of another process. */
        void requestDirectoryRead();

        /** Requests a scheduling round, because something changed that may make commands or a transaction due. */
        void requestSchedulingRound();
    }

    /** Number of polls in the time of a lease, also if the lease limit shortens it. */
    private static final int RENEWALS_PER_LEASE = 5;

    private static final int MIN_POLL_WAIT_MS = 200;
    private static final long NANOS_PER_MS = 1_000_000;

    private final LeaderContext context;
    private final Callbacks leader;
    private final long epoch;
    private final FleetRunner runner;

    private boolean closed;
    private boolean pollInFlight;
    private boolean pollScheduled;
    /** When the next poll is due, meaningful only if one is scheduled. */
    private long nextPollNanos;

    private boolean lost;
    private boolean replacedAtAddress;
    private boolean restartPending;
    private final ProcessConfirmation process = new ProcessConfirmation();
    private final RunnerCordon cordon = new RunnerCordon();
    private final EndAcknowledgement acknowledgement = new EndAcknowledgement();
    private final StartVerification starts = new StartVerification();
    private final PollSilence silence;
    private final RunnerLease lease;
    private final FirstReport firstReport;
    private final InitialRenewal initialRenewal;
    private final RunStarter starter;
    private final RunnerCommandSender commands;

    /**
     * Creates a session that has not contacted its runner.
     *
     * @param inherited whether earlier leaders may have sent commands to the runner
     * @param leaseEndNanos when everything that earlier leaders started on the runner has ended
     */
    RunnerSession(
            LeaderContext context,
            Callbacks leader,
            long epoch,
            FleetRunner runner,
            boolean inherited,
            long leaseEndNanos) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.runner = runner;
        this.silence = new PollSilence(context.loop());
        this.lease = new RunnerLease(context.loop(), context.leaseLimit(), leaseEndNanos);
        this.firstReport = new FirstReport(context.loop(), inherited);
        this.initialRenewal = new InitialRenewal(context, leader, epoch, runner, lease, cordon, firstReport);
        this.starter = new RunStarter(context, leader, epoch, process, starts, lease, this);
        this.commands = new RunnerCommandSender(context, leader, epoch, this);
    }

    /**
     * Shortens the wait for earlier leaders. The runner accepted none of their commands after {@code endedNanos},
     * because by then they had all ended, or the runner had answered this leader and thereby rejects lower epochs. Does
     * nothing once the runner has reported to this leader.
     */
    void onEarlierLeadersEnded(long endedNanos) {
        lease.onEarlierLeadersEnded(endedNanos);
    }

    /** Shortens the wait for earlier leaders to the time by which all leases that they granted have expired. */
    void onEarlierLeasesLimited(long expiredByNanos) {
        lease.onEarlierLeasesLimited(expiredByNanos);
    }

    @Override
    public FleetRunner runner() {
        return runner;
    }

    void close() {
        closed = true;
    }

    /** Returns whether the runner has no runs and no ended runs to acknowledge. */
    boolean idle() {
        return !runner.busy() && allReportedEndsStored() && !acknowledgement.due();
    }

    /** Returns whether nothing that was started on the runner can still run or start. */
    boolean leaseExpired() {
        return lease.expired();
    }

    /** Returns when nothing that was started on the runner can still run or start. */
    long leaseEndNanos() {
        return lease.endNanos();
    }

    /** Returns whether this leader has extended the runner's lease. */
    boolean leaseExtended() {
        return lease.extended();
    }

    /** Returns the time since the first poll was sent that the runner has left unanswered since, 0 if there is none. */
    long silentNanos() {
        return silence.nanos();
    }

    /** Returns why the runner counts as lost once its lease has expired. */
    String lossReason() {
        return replacedAtAddress
                ? "another incarnation answers at its address"
                : "it is silent and its lease has expired";
    }

    /** Allows starts once the store has confirmed the leader since it learned of the runner's process. */
    void onLeadershipConfirmed() {
        if (process.confirm(leader::confirmedSince)) {
            context.fleet().setRunnerConfirmed(runner.id(), true);
            if (restartPending) {
                schedulePoll(Duration.ZERO);
            }
        }
    }

    /** Returns whether the runner did not answer the last poll. */
    boolean silent() {
        return silence.missedPolls() > 0;
    }

    /** Returns whether the runner's answer to a poll is overdue for so long that it is to be cordoned. */
    boolean answerOverdue() {
        return silence.overdueFor(FleetConstants.CORDON_AFTER_OVERDUE);
    }

    /** Returns the first report of the runner to this leader. */
    FirstReport firstReport() {
        return firstReport;
    }

    /** Returns the renewal of the runner's lease before the jobs are read. */
    InitialRenewal initialRenewal() {
        return initialRenewal;
    }

    RunnerCordon cordon() {
        return cordon;
    }

    /** Returns whether the runner was considered lost and has not responded since. */
    boolean lost() {
        return lost;
    }

    void markLost() {
        lost = true;
    }

    /** Returns the position up to which the results of ended runs will be stored with the jobs taken last. */
    ProcessedEnds endsToStore(Collection<HeldEnd> endsInTransaction) {
        return context.fleet().processedEndsToStore(runner, endsInTransaction);
    }

    /** Returns whether a transaction without jobs would store the results of further ended runs. */
    boolean hasEndsToStore() {
        ProcessedEnds ends = endsToStore(List.of());
        return process.is(ends.processStartEpochMs()) && !acknowledgement.storedUpTo(ends.lastSequenceNumber());
    }

    private boolean allReportedEndsStored() {
        return acknowledgement.storedUpTo(runner.processedEnds().lastSequenceNumber());
    }

    /** Acknowledges ended runs to the runner, since they are stored, unless the runner has restarted since. */
    void onEndsStored(ProcessedEnds stored) {
        if (!process.is(stored.processStartEpochMs())) {
            return;
        }
        context.fleet().onEndsStored(runner, stored);
        acknowledgement.onEndsStored(stored.lastSequenceNumber(), context.loop().nowNanos());
        if (acknowledgement.due()) {
            schedulePoll(Duration.ZERO);
        }
    }

    /** Polls the runner after a delay, unless a poll is in flight or scheduled for an earlier time. */
    void schedulePoll(Duration delay) {
        if (closed || pollInFlight) {
            return;
        }
        if (delay.isZero()) {
            poll();
            return;
        }
        long dueNanos = context.loop().nowNanos() + delay.toNanos();
        if (pollScheduled && dueNanos - nextPollNanos >= 0) {
            return;
        }
        pollScheduled = true;
        nextPollNanos = dueNanos;
        context.loop().schedule(delay, () -> {
            // Another poll may have been scheduled since, for an earlier time.
            if (!pollScheduled || nextPollNanos != dueNanos) {
                return;
            }
            pollScheduled = false;
            if (!pollInFlight) {
                poll();
            }
        });
    }

    private void poll() {
        if (closed) {
            return;
        }
        if (!leader.maySendCommands()) {
            schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            return;
        }
        pollInFlight = true;
        long sentNanos = context.loop().nowNanos();
        long acknowledgedEnd = !silent() ? acknowledgement.next(starts.allVerified()) : 0;
        boolean acknowledgesAll = allReportedEndsStored() && (acknowledgedEnd > 0 || !acknowledgement.due());
        boolean wait = mayWaitForEnds() && acknowledgesAll;
        // A silent runner may have received the polls that it did not answer. They must not renew its lease, which
        // still has to expire.
        boolean renew = lease.runnerClockKnown()
                && lease.extendable(starts.allVerified())
                && runner.busy()
                && !silent()
                && starts.allAnswered()
                && !restartPending
                && !runner.hasUnresolvedStarts()
                && !cordon.commandsBlocked();
        long leaseUntilMs = renew ? lease.extend(starts.allVerified()) : 0;
        firstReport.onPollSent();
        int waitMs = wait ? pollWaitMs() : 0;
        silence.onPollSent(sentNanos + waitMs * NANOS_PER_MS);
        sendPoll(
                acknowledgedEnd,
                leaseUntilMs,
                waitMs,
                response -> onPollResponse(response, sentNanos, acknowledgedEnd));
    }

    /** Returns whether a poll may wait for the end of a run, because the process that has the runs is known. */
    private boolean mayWaitForEnds() {
        return runner.statusKnown()
                && runner.busy()
                && !runner.mayHaveUnreportedRuns()
                && !silent()
                && runner.entryMayDescribeProcess();
    }

    /** Sends a poll; on a new connection if the one before had no answer, because its connection may have gone silent. */
    private void sendPoll(
            long acknowledgedEnd, long leaseUntilMs, int waitMs, Consumer<RunnerCalls.PollResponse> callback) {
        RunnerCalls calls = context.runnerCalls();
        if (silent()) {
            calls.pollOnNewConnection(runner.descriptor(), epoch, acknowledgedEnd, leaseUntilMs, waitMs, callback);
        } else {
            calls.poll(runner.descriptor(), epoch, acknowledgedEnd, leaseUntilMs, waitMs, callback);
        }
    }

    /** Returns the wait of a poll; short leases are renewed more often, so that they outlast the next raise of the limit. */
    private int pollWaitMs() {
        int waitMs = runner.hasColocatedTasks() ? FleetConstants.SHARED_POLL_WAIT_MS : FleetConstants.POLL_WAIT_MS;
        long shortLeaseWaitMs = context.leaseLimit().permittedLease().toMillis() / RENEWALS_PER_LEASE;
        return Math.clamp(shortLeaseWaitMs, MIN_POLL_WAIT_MS, waitMs);
    }

    private void onPollResponse(RunnerCalls.PollResponse response, long sentNanos, long acknowledgedEnd) {
        pollInFlight = false;
        context.metrics().runnerCallCompleted(FleetMetrics.RunnerCallKind.POLL, response.outcome());
        if (closed) {
            return;
        }
        switch (response.outcome()) {
            case DONE -> onStatus(response, sentNanos, acknowledgedEnd);
            case FENCED -> leader.onFenced(runner.id());
            case RUNNER_REPLACED -> {
                onProcessEnded(sentNanos);
                schedulePoll(process.learnedSince(sentNanos) ? Duration.ZERO : FleetConstants.IDLE_POLL_INTERVAL);
            }
            default -> {
                onUnanswered(response, sentNanos);
                schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            }
        }
    }

    /**
     * Another runner answers at the address, so nothing runs on this one any more. Its runs may have ended as done, with
     * ends that only a successor has read, so they are lost only once the store has confirmed the leader.
     *
     * <p>The answer tells nothing of a process that was learned of after the request: a runner that has restarted may have
     * another address, and the answer may come from its earlier one.
     */
    @Override
    public void onProcessEnded(long sentNanos) {
        if (process.learnedSince(sentNanos)) {
            return;
        }
        onSilence(sentNanos);
        if (!lost) {
            replacedAtAddress = true;
            lease.onProcessEnded();
            leader.requestConfirmation();
        }
    }

    private void onUnanswered(RunnerCalls.PollResponse response, long sentNanos) {
        if (!silent()) {
            context.log().runnerSilent(runner.id(), response.reason());
            context.metrics().runnerChanged(FleetMetrics.RunnerEvent.SILENT);
        }
        onSilence(sentNanos);
    }

    private void onSilence(long sentNanos) {
        silence.onMissedPoll(sentNanos);
        context.fleet().runnerSilent(runner.id());
    }

    private void onStatus(RunnerCalls.PollResponse response, long sentNanos, long acknowledgedEnd) {
        long nowNanos = context.loop().nowNanos();
        if (silent() || (lost && !restartPending)) {
            context.log().runnerBack(runner.id(), silence.missedPolls());
            context.metrics().runnerChanged(FleetMetrics.RunnerEvent.BACK);
        }
        silence.onAnswer();
        firstReport.onPollAnswered();
        learnProcess(response.status().processStartEpochMs(), sentNanos);
        process.onPollAnswered(sentNanos, response.status().clockMs(), nowNanos);
        boolean restarted = runner.processStartEpochMs() != 0
                && runner.processStartEpochMs() != response.status().processStartEpochMs();
        restartPending = restarted && !process.confirmed();
        if (restartPending) {
            // The runs of the earlier process may have ended as done, with ends that only a successor has read.
            acknowledgement.onProcessChanged();
            context.fleet().runnerSilent(runner.id());
            // The new process may have to stop runs at once.
            leader.requestSchedulingRound();
            schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            return;
        }
        lost = false;
        replacedAtAddress = false;
        if (response.status().processStartEpochMs() != runner.processStartEpochMs()) {
            acknowledgement.onProcessChanged();
            lease.onProcessChanged();
            starts.onPollAnswered(sentNanos);
        } else {
            acknowledgement.onPollAnswered(acknowledgedEnd, nowNanos);
            starts.onPollAnswered(sentNanos);
            if (starts.allVerified()) {
                lease.onProcessVerified();
            }
        }
        if (!lease.runnerClockKnown()) {
            onEarlierLeadersEnded(nowNanos);
        }
        lease.readRunnerClock(response.status().clockMs());
        context.fleet().setAcknowledgementOverdue(runner.id(), acknowledgement.overdue(nowNanos));
        try {
            context.fleet().applyStatus(runner, response.status(), sentNanos, nowNanos);
        } finally {
            leader.requestSchedulingRound();
            scheduleNextPoll();
        }
    }

    private void scheduleNextPoll() {
        if (runner.hasUnresolvedStarts()) {
            schedulePoll(FleetConstants.POLL_RETRY_DELAY);
            return;
        }
        if (acknowledgement.next(starts.allVerified()) > 0) {
            schedulePoll(Duration.ZERO);
        } else if (acknowledgement.due() || !allReportedEndsStored()) {
            schedulePoll(FleetConstants.ACKNOWLEDGE_DELAY);
        } else {
            schedulePoll(pollInterval());
        }
    }

    private Duration pollInterval() {
        if (mayWaitForEnds()) {
            return Duration.ZERO;
        }
        // Only a status tells which runs the runner has, or that one which the leader does not know is over.
        return runner.busy() || runner.hasOrphanedRuns()
                ? FleetConstants.POLL_RETRY_DELAY
                : FleetConstants.IDLE_POLL_INTERVAL;
    }

    private void learnProcess(long processStartEpochMs, long sentNanos) {
        long nowNanos = context.loop().nowNanos();
        if (process.learn(processStartEpochMs, nowNanos)) {
            context.fleet().setRunnerConfirmed(runner.id(), false);
            context.fleet().processAnswered(runner, processStartEpochMs, sentNanos, nowNanos);
            leader.requestConfirmation();
            if (!runner.descriptor().mayDescribe(processStartEpochMs)) {
                leader.requestDirectoryRead();
            }
        }
    }

    /** Polls the runner at once if its directory entry is of a later process than the one that last reported. */
    void onDirectoryRead() {
        boolean restarted = !runner.entryMayDescribeProcess()
                && runner.descriptor().processStartEpochMs() > runner.processStartEpochMs();
        if (!restarted) {
            return;
        }
        if (!pollInFlight) {
            schedulePoll(Duration.ZERO);
        } else if (leader.maySendCommands()) {
            // The poll in flight may have been sent to the earlier process, which does not answer any more.
            prepareStart();
        }
    }

    /** Polls the runner at once, so that the lease of a new run is renewed in time. */
    void pollNow() {
        if (!pollInFlight) {
            schedulePoll(Duration.ZERO);
        }
    }

    /** Returns whether this leader has learned of the runner's present process after a time. */
    boolean processLearnedSince(long nanos) {
        return process.learnedSince(nanos);
    }

    void send(RunnerCommand command) {
        switch (command) {
            case RunnerCommand.Start start -> starter.start(start.run());
            case RunnerCommand.Stop stop -> commands.stop(stop);
            case RunnerCommand.Throttle throttle -> commands.throttle(throttle);
        }
    }

    /** Prepares for a start that is due once a transaction is stored. */
    void prepareStart() {
        if (!closed && !silent()) {
            starter.prepareStart();
        }
    }

    @Override
    public boolean closed() {
        return closed;
    }

    @Override
    public void onStarted() {
        pollNow();
    }

    @Override
    public void onNotVerified(RunnerCalls.PollResponse response, long sentNanos) {
        switch (response.outcome()) {
            case DONE -> onStatus(response, sentNanos, 0);
            case FENCED -> leader.onFenced(runner.id());
            case RUNNER_REPLACED -> onProcessEnded(sentNanos);
            default -> {
                onUnanswered(response, sentNanos);
                schedulePoll(Duration.ZERO);
            }
        }
    }
}
