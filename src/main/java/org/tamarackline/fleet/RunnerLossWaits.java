package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Logs for each silent runner until when and why this leader does not count it as lost. */
final class RunnerLossWaits {

    private static final String EVENT = "runner-loss-waits";

    /** Change of the end of a wait from which it is logged again. */
    private static final Duration MIN_CHANGE = Duration.ofMillis(500);

    private static final String CONFIRMATION = "confirmation of the leader by the store";

    private record Logged(long endNanos, String reason) {}

    private final EventLoop loop;
    private final RunnerCordons cordons;
    private final RunnerEventLog events;
    private final Map<String, Logged> loggedWaits = new HashMap<>();

    RunnerLossWaits(EventLoop loop, RunnerCordons cordons, RunnerEventLog events) {
        this.loop = loop;
        this.cordons = cordons;
        this.events = events;
    }

    /** Logs the waits for silent runners that began, or whose end or reason changed, since the last call. */
    void logChanges(Collection<RunnerSession> sessions) {
        for (RunnerSession session : sessions) {
            if (session.silent() && !session.lost()) {
                logIfChanged(session);
            }
        }
        events.endPeriodIfDue();
    }

    private void logIfChanged(RunnerSession session) {
        long endNanos = session.leaseEndNanos();
        long remainingNanos = endNanos - loop.nowNanos();
        if (remainingNanos < 0 && -remainingNanos < MIN_CHANGE.toNanos()) {
            return;
        }
        String reason = remainingNanos < 0 ? CONFIRMATION : reason(session);
        String runner = session.runner().id();
        Logged logged = loggedWaits.get(runner);
        if (logged != null
                && logged.reason().equals(reason)
                && Math.abs(endNanos - logged.endNanos()) <= MIN_CHANGE.toNanos()) {
            return;
        }
        loggedWaits.put(runner, new Logged(endNanos, reason));
        events.write(EVENT, runner, OptionalLong.of(remainingNanos / 1_000_000), reason);
    }

    private String reason(RunnerSession session) {
        if (session.leaseExtended()) {
            return "own lease";
        }
        return cordons.determinesLeaseEnd(session) ? "cordon of an earlier leader" : "leases of earlier leaders";
    }

    /** Forgets a runner that has no session any more. */
    void remove(String runner) {
        loggedWaits.remove(runner);
    }
}
