package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Sets the speed of filling tasks so that the serving tasks beside them stay within their latency targets.
 *
 * <p>The tasks that are nearest to their end work at full speed as far as the model allows; the others wait with their
 * memory. Once a target has been missed for a while, all filling tasks of the runner wait.
 */
final class PaceControl {

    /** Time over a target after which all filling tasks stop working, well within the bound on such harm. */
    private static final long HARM_NANOS = 1_400_000_000L;
    /** Smallest change of speed that is worth an order, in percent. */
    private static final int MIN_CHANGE_PERCENT = 15;
    /** Slowest speed above a stop, in percent. */
    private static final int MIN_PERCENT = 20;
    /** Part of the allowance that is used while a target is missed. */
    private static final double CAUTION = 0.5;

    private static final int FULL_PERCENT = 100;

    private final InterferenceModel model;

    PaceControl(InterferenceModel model) {
        this.model = model;
    }

    /** Returns the speeds to set after a report of the runner. */
    List<Order> review(FleetRunner runner, long nowNanos) {
        model.learn(runner);
        double worst = InterferenceModel.worstLatency(runner);
        if (worst <= 1) {
            runner.overTarget = false;
        } else if (!runner.overTarget) {
            runner.overTarget = true;
            runner.overTargetNanos = nowNanos;
        }
        boolean harmed = runner.overTarget && nowNanos - runner.overTargetNanos > HARM_NANOS;
        boolean serves = runner.serves();
        double allowance = model.allowance(runner) * (runner.overTarget ? CAUTION : 1);
        List<Order> orders = new ArrayList<>();
        for (Run run : fillers(runner)) {
            int percent = FULL_PERCENT;
            if (harmed) {
                percent = 0;
            } else if (serves) {
                double pressure = model.pressure(run.task().step());
                percent = share(allowance, pressure);
                allowance -= pressure * percent / FULL_PERCENT;
            }
            order(run, percent, orders, nowNanos);
        }
        return orders;
    }

    private static int share(double allowance, double pressure) {
        if (allowance >= pressure) {
            return FULL_PERCENT;
        }
        int percent = (int) (FULL_PERCENT * Math.max(0, allowance) / pressure);
        return percent < MIN_PERCENT ? 0 : percent;
    }

    private static void order(Run run, int percent, List<Order> orders, long nowNanos) {
        boolean limit = percent == 0 || percent == FULL_PERCENT;
        boolean worthIt = Math.abs(percent - run.pacePercent) >= MIN_CHANGE_PERCENT;
        if (percent != run.pacePercent && (limit || worthIt)) {
            run.pacePercent = percent;
            run.progressNanos = nowNanos;
            orders.add(new Order.Pace(run, percent));
        }
    }

    private static List<Run> fillers(FleetRunner runner) {
        List<Run> fillers = new ArrayList<>();
        for (Run run : runner.runs.values()) {
            if (run.task().step().filler() && run.phase == Run.Phase.RUNNING) {
                fillers.add(run);
            }
        }
        fillers.sort(Comparator.comparingDouble((Run run) -> -run.percent)
                .thenComparing(run -> run.task().key().toString()));
        return fillers;
    }
}
