package org.tamarackline.fleet;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.RunnerDescriptor;

/** Cordons silent runners in the store, and uncordons them once they respond again. */
final class RunnerCordons {

    private final EventLoop loop;
    private final StoreClock storeClock;
    private final Fleet fleet;
    private final Map<String, RunnerSession> sessions;

    /**
     * Creates an instance without cordons.
     *
     * @param sessions live view of the sessions by runner
     */
    RunnerCordons(EventLoop loop, StoreClock storeClock, Fleet fleet, Map<String, RunnerSession> sessions) {
        this.loop = loop;
        this.storeClock = storeClock;
        this.fleet = fleet;
        this.sessions = sessions;
    }

    /**
     * Returns the time by which all runs and delayed starts of earlier leaders on a runner have ended.
     *
     * @param latestEndNanos upper bound; the result if the runner is not cordoned or the store's time is unknown
     */
    long endOfEarlierLeasesNanos(RosterRecord rosterRecord, long latestEndNanos) {
        long nowNanos = loop.nowNanos();
        OptionalLong storeNowMs = storeClock.earliestMs(nowNanos);
        if (!rosterRecord.cordoned() || storeNowMs.isEmpty()) {
            return latestEndNanos;
        }
        double remainingMs = Math.max(0, rosterRecord.leaseEndStoreMs() - storeNowMs.getAsLong());
        long remainingNanos = (long) Math.ceil(remainingMs * 1e6 / (1 - FleetConstants.MAX_CLOCK_DRIFT));
        return Math.min(latestEndNanos, nowNanos + remainingNanos);
    }

    /** Restores the cordon of a runner from the roster record of an earlier leader. */
    void restore(RunnerSession session, RosterRecord rosterRecord) {
        session.cordon().restore(rosterRecord);
        setCordonedInFleet(session);
    }

    /** Requests writes that cordon runners which have been silent for long enough, and uncordon those that respond again. */
    void requestDueWrites(Committer committer) {
        for (RunnerSession session : sessions.values()) {
            RunnerCordon cordon = session.cordon();
            if (cordon.writeRequested()) {
                continue;
            }
            if (cordonDue(session)) {
                cordon.requestWrite();
                committer.cordon(session.runner().id());
            } else if (uncordonDue(session)) {
                cordon.requestWrite();
                committer.addToRoster(session.runner().descriptor());
            }
        }
    }

    private boolean cordonDue(RunnerSession session) {
        return !session.cordon().stored()
                && session.silentFor(FleetConstants.CORDON_AFTER_SILENCE)
                && storeClock.latestMs(loop.nowNanos()).isPresent();
    }

    private static boolean uncordonDue(RunnerSession session) {
        return session.cordon().commandsBlocked()
                && !session.silent()
                && session.runner().statusKnown();
    }

    /**
     * Stops commands to a runner and returns the record that cordons it. Returns empty without stopping commands if the
     * runner is unknown or its cordon is no longer due; in the latter case, withdraws the requested write.
     */
    Optional<RosterRecord> prepareCordon(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session == null) {
            return Optional.empty();
        }
        if (!cordonDue(session)) {
            session.cordon().withdrawWrite();
            return Optional.empty();
        }
        session.cordon().onCordonSent();
        setCordonedInFleet(session);
        long leaseExpiredByNanos = Math.max(loop.nowNanos(), session.leaseEndNanos());
        RunnerDescriptor descriptor = session.runner().descriptor();
        return Optional.of(new RosterRecord(
                descriptor, storeClock.latestMs(leaseExpiredByNanos).orElseThrow()));
    }

    /** Records that the write that cordons a runner has been stored. */
    void onCordonStored(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.cordon().onCordonStored();
        }
    }

    /** Records that the write that uncordons a runner is being sent. */
    void onUncordonSent(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.cordon().onUncordonSent();
        }
    }

    /** Records that the write that uncordons a runner has been stored, and allows commands to it. */
    void onUncordonStored(String runner) {
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.cordon().onUncordonStored();
            setCordonedInFleet(session);
        }
    }

    private void setCordonedInFleet(RunnerSession session) {
        fleet.setRunnerCordoned(session.runner().id(), session.cordon().commandsBlocked());
    }
}
