package org.tamarackline.fleet;

import java.util.HashMap;
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
    private final RunnerEventLog events;
    /** Ends of the leases of earlier leaders that follow from their cordons, on the local clock, by runner. */
    private final Map<String, Long> endsOfEarlierCordonsNanos = new HashMap<>();

    /**
     * Creates an instance without cordons.
     *
     * @param sessions live view of the sessions by runner
     * @param events log of the cordons
     */
    RunnerCordons(
            EventLoop loop,
            StoreClock storeClock,
            Fleet fleet,
            Map<String, RunnerSession> sessions,
            RunnerEventLog events) {
        this.loop = loop;
        this.storeClock = storeClock;
        this.fleet = fleet;
        this.sessions = sessions;
        this.events = events;
    }

    /**
     * Returns the time by which all runs and delayed starts of earlier leaders on a runner have ended.
     *
     * @param latestEndNanos upper bound; the result if the runner is not cordoned or the store's time is unknown
     */
    long endOfEarlierLeasesNanos(RosterRecord rosterRecord, long latestEndNanos) {
        if (!rosterRecord.cordoned()) {
            return latestEndNanos;
        }
        OptionalLong cordonEndNanos = storeClock.latestNanosOf(rosterRecord.leaseEndStoreMs(), loop.nowNanos());
        cordonEndNanos.ifPresent(
                endNanos -> endsOfEarlierCordonsNanos.put(rosterRecord.runner().id(), endNanos));
        return Math.min(latestEndNanos, cordonEndNanos.orElse(latestEndNanos));
    }

    /** Restores the cordon of a runner from the roster record of an earlier leader. */
    void restore(RunnerSession session, RosterRecord rosterRecord) {
        session.cordon().restore(rosterRecord);
        setCordonedInFleet(session);
        if (rosterRecord.cordoned()) {
            log("cordon-read", session, sourceOfLeaseEnd(session));
        }
    }

    private String sourceOfLeaseEnd(RunnerSession session) {
        if (!endsOfEarlierCordonsNanos.containsKey(session.runner().id())) {
            return "the store's clock is unknown; waits for the leases of earlier leaders";
        }
        return determinesLeaseEnd(session)
                ? "waits for the end that the cordon names"
                : "the leases of earlier leaders end before the end that the cordon names";
    }

    /** Returns whether the end of a runner's lease is the one that the cordon of an earlier leader names. */
    boolean determinesLeaseEnd(RunnerSession session) {
        Long endNanos = endsOfEarlierCordonsNanos.get(session.runner().id());
        return endNanos != null && endNanos == session.leaseEndNanos();
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
                log(
                        "cordon-requested",
                        session,
                        session.firstReport().awaited()
                                ? "it has not reported to this leader"
                                : "its answer is overdue");
                committer.cordon(session.runner().id());
            } else if (uncordonDue(session)) {
                cordon.requestWrite();
                committer.addToRoster(session.runner().descriptor());
            }
        }
    }

    private boolean cordonDue(RunnerSession session) {
        return !session.cordon().stored()
                && (session.answerOverdue() || session.firstReport().awaitedFor(FleetConstants.CORDON_AFTER_FIRST_POLL))
                && storeClock.latestMs(loop.nowNanos()).isPresent();
    }

    private static boolean uncordonDue(RunnerSession session) {
        return session.cordon().commandsBlocked()
                && !session.silent()
                && !session.answerOverdue()
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
            log("cordon-withdrawn", session, "it is no longer due");
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
            log("cordon-stored", session, "its lease end is stored");
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
            boolean wasCordoned = session.cordon().commandsBlocked();
            session.cordon().onUncordonStored();
            setCordonedInFleet(session);
            if (wasCordoned) {
                log("cordon-removed", session, "it responds again");
            }
        }
    }

    private void log(String event, RunnerSession session, String reason) {
        long remainingMs = (session.leaseEndNanos() - loop.nowNanos()) / 1_000_000;
        events.write(event, session.runner().id(), OptionalLong.of(remainingMs), reason);
    }

    private void setCordonedInFleet(RunnerSession session) {
        fleet.setRunnerCordoned(session.runner().id(), session.cordon().commandsBlocked());
    }
}
