package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;

/** Watches what runs: ends runs that stand still, and slows filling tasks that harm serving ones. */
public final class Supervisor {

    /** Time without progress after which a run is taken to stand still. */
    private static final long STALL_NANOS = 2_500_000_000L;
    /** Part of the estimated duration that one percent of progress may take beyond {@link #STALL_NANOS}. */
    private static final double STALL_PER_ESTIMATE = 0.15;

    private static final long PACE_INTERVAL_NANOS = 300_000_000L;
    /** Part of the latency target above which filling tasks are slowed. */
    private static final double SLOW_ABOVE = 0.85;
    /** Part of the latency target below which filling tasks are sped up. */
    private static final double SPEED_UP_BELOW = 0.6;

    private static final int SPEED_UP_PERCENT = 20;
    private static final int MIN_PACE_PERCENT = 5;

    /** Returns the speeds to set now; runs that stand still are given up and stopped by the next decision. */
    public List<Order> review(Fleet fleet, long nowNanos) {
        List<Order> orders = new ArrayList<>();
        for (FleetRunner runner : fleet.runners()) {
            if (!runner.contacted() || !runner.busy()) {
                continue;
            }
            giveUpStalled(fleet, runner, nowNanos);
            if (nowNanos - runner.paceChangedNanos() > PACE_INTERVAL_NANOS) {
                pace(runner, orders, nowNanos);
            }
        }
        return orders;
    }

    private static void giveUpStalled(Fleet fleet, FleetRunner runner, long nowNanos) {
        for (Run run : runner.snapshotOfRuns()) {
            StepDefinition step = run.task().step();
            if (run.phase != Run.Phase.RUNNING || step.longRunning() || run.pacePercent < 100 || step.gang()) {
                continue;
            }
            long limitNanos = STALL_NANOS + (long) (STALL_PER_ESTIMATE * step.estimateMs() * 1e6);
            if (nowNanos - run.progressNanos > limitNanos) {
                fleet.giveUp(run, nowNanos);
            }
        }
    }

    private static void pace(FleetRunner runner, List<Order> orders, long nowNanos) {
        double worst = 0;
        List<Run> fillers = new ArrayList<>();
        for (Run run : runner.snapshotOfRuns()) {
            StepDefinition step = run.task().step();
            if (run.phase != Run.Phase.RUNNING) {
                continue;
            }
            if (step.serving() && run.usage > 0) {
                worst = Math.max(worst, run.usage / step.latencyTargetMs());
            } else if (step.filler()) {
                fillers.add(run);
            }
        }
        for (Run run : fillers) {
            int percent = nextPace(run.pacePercent, worst);
            if (percent != run.pacePercent) {
                run.pacePercent = percent;
                run.progressNanos = nowNanos;
                runner.paceChanged(nowNanos);
                orders.add(new Order.Pace(run, percent));
            }
        }
    }

    /** Returns the next speed, given the worst latency relative to its target. */
    private static int nextPace(int percent, double worst) {
        if (worst > SLOW_ABOVE) {
            int slower = (int) (percent * Math.max(0.3, SLOW_ABOVE / worst - 0.1));
            return Math.max(MIN_PACE_PERCENT, slower);
        }
        return worst < SPEED_UP_BELOW ? Math.min(100, percent + SPEED_UP_PERCENT) : percent;
    }
}
