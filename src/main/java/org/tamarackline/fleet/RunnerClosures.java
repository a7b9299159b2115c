package org.tamarackline.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.RunnerDescriptor;

/** Closes silent runners in the store, and opens them again once they answer. */
final class RunnerClosures {

    private final EventLoop loop;
    private final StoreClock storeClock;
    private final Fleet fleet;
    private final Map<String, RunnerSession> sessions;

    /**
     * Creates closures.
     *
     * @param sessions sessions by runner, as they are at each call
     */
    RunnerClosures(EventLoop loop, StoreClock storeClock, Fleet fleet, Map<String, RunnerSession> sessions) {
        this.loop = loop;
        this.storeClock = storeClock;
        this.fleet = fleet;
        this.sessions = sessions;
    }

    /**
     * Returns when nothing that earlier leaders ordered has any effect on a runner.
     *
     * @param longestEndNanos the same if the record did not close the runner
     */
    long inheritedEndNanos(RosterRecord roster, long longestEndNanos) {
        long nowNanos = loop.nowNanos();
        OptionalLong storeNowMs = storeClock.earliestMs(nowNanos);
        if (!roster.closed() || storeNowMs.isEmpty()) {
            return longestEndNanos;
        }
        double leftMs = Math.max(0, roster.closedUntilStoreMs() - storeNowMs.getAsLong());
        long leftNanos = (long) Math.ceil(leftMs * 1e6 / (1 - FleetLimits.CLOCK_DRIFT));
        return Math.min(longestEndNanos, nowNanos + leftNanos);
    }

    /** Takes over the record that an earlier leader left of a runner. */
    void inherit(RunnerSession session, RosterRecord roster) {
        session.closure().inherited(roster);
        noteOrders(session);
    }

    /** Requests the records that are due. */
    void review(Committer committer) {
        for (RunnerSession session : sessions.values()) {
            RunnerClosure closure = session.closure();
            if (closure.recordRequested()) {
                continue;
            }
            if (closingDue(session)) {
                closure.requestRecord();
                committer.closeRunner(session.runner().id());
            } else if (openingDue(session)) {
                closure.requestRecord();
                committer.enlist(session.runner().descriptor());
            }
        }
    }

    private boolean closingDue(RunnerSession session) {
        return !session.closure().closedInStore()
                && session.silentFor(FleetLimits.CLOSE_AFTER)
                && storeClock.latestMs(loop.nowNanos()).isPresent();
    }

    private static boolean openingDue(RunnerSession session) {
        return session.closure().closedForOrders()
                && !session.silent()
                && session.runner().statusKnown();
    }

    /** Returns the record that closes a runner, which gets no orders from now on; empty if it need not be closed any more. */
    Optional<RosterRecord> closing(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session == null) {
            return Optional.empty();
        }
        if (!closingDue(session)) {
            session.closure().withdrawRecord();
            return Optional.empty();
        }
        session.closure().closing();
        noteOrders(session);
        long endNanos = Math.max(loop.nowNanos(), session.leaseEndNanos());
        RunnerDescriptor report = session.runner().descriptor();
        return Optional.of(
                new RosterRecord(report, storeClock.latestMs(endNanos).orElseThrow()));
    }

    /** The record that closes a runner is stored. */
    void closed(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.closure().closed();
        }
    }

    /** The record that opens a runner is being sent. */
    void opening(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.closure().opening();
        }
    }

    /** The record that opens a runner is stored. */
    void opened(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.closure().opened();
            noteOrders(session);
        }
    }

    private void noteOrders(RunnerSession session) {
        fleet.setRunnerCordoned(session.runner().id(), session.closure().closedForOrders());
    }
}
