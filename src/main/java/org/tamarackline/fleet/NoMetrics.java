package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.StartResult;

/** Metrics that record nothing, for tests and simulations. */
final class NoMetrics implements FleetMetrics {

    @Override
    public void submitted(FleetNode.SubmitResult result) {}

    @Override
    public void submissionRefused(RefusalReason reason) {}

    @Override
    public void requestCompleted(Duration duration) {}

    @Override
    public void leadershipChanged(LeadershipEvent event) {}

    @Override
    public void leaderSampled(LeaderSample sample) {}

    @Override
    public void startCompleted(StartResult result) {}

    @Override
    public void taskStarted(long waitedNanos) {}

    @Override
    public void runEnded(EndReason reason) {}

    @Override
    public void cancelledRunEnded(long sinceCancelledNanos) {}

    @Override
    public void runLost() {}

    @Override
    public void runnerChanged(RunnerEvent event) {}

    @Override
    public void runnerCallCompleted(RunnerCallKind kind, RunnerCalls.RunnerCommandOutcome outcome) {}

    @Override
    public void transactionCompleted(TransactionPurpose purpose, TransactionOutcome outcome, long tookNanos) {}

    @Override
    public void changeIsolated() {}

    @Override
    public void readCompleted(ReadPurpose purpose, ReadOutcome outcome) {}

    @Override
    public void loopDelayed(long delayNanos) {}
}
