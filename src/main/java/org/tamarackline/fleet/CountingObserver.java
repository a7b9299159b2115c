package org.tamarackline.fleet;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.FleetObserver;
import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.Job;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;

/** Records the events of a fleet in the metrics, and passes those that are logged to the log. */
final class CountingObserver implements FleetObserver {

    private final FleetMetrics metrics;
    private final FleetObserver log;

    CountingObserver(FleetMetrics metrics, FleetObserver log) {
        this.metrics = metrics;
        this.log = log;
    }

    @Override
    public void jobFinished(Job job) {
        log.jobFinished(job);
    }

    @Override
    public void runAdopted(Run run) {
        log.runAdopted(run);
    }

    @Override
    public void runEvicted(Run run, String reason) {
        log.runEvicted(run, reason);
    }

    @Override
    public void runLost(Run run, String reason) {
        metrics.runLost();
        log.runLost(run, reason);
    }

    @Override
    public void runnerRestarted(FleetRunner runner, long previousStartEpochMs) {
        metrics.runnerChanged(FleetMetrics.RunnerEvent.RESTARTED);
        log.runnerRestarted(runner, previousStartEpochMs);
    }

    @Override
    public void runEnded(FleetRunner runner, RunnerStatus.EndedRun end, Run run) {
        log.runEnded(runner, end, run);
    }

    @Override
    public void endProcessed(EndReason reason) {
        metrics.runEnded(reason);
    }

    @Override
    public void cancelledRunEnded(Run run, long sinceCancelledNanos) {
        metrics.cancelledRunEnded(sinceCancelledNanos);
        log.cancelledRunEnded(run, sinceCancelledNanos);
    }

    @Override
    public void startCompleted(StartResult result) {
        metrics.startCompleted(result);
    }

    @Override
    public void taskStarted(long waitedNanos) {
        metrics.taskStarted(waitedNanos);
    }
}
