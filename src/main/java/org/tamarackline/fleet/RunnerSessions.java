package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.RunnerDescriptor;

/** Sessions of a leader with the runners of its roster and of the directory. */
final class RunnerSessions {

    /** Time between the first polls of two runners, which a node with little processor time takes to send one. */
    private static final Duration FIRST_POLL_SPACING = Duration.ofNanos(500_000);

    private final LeaderContext context;
    private final RunnerSession.Callbacks leader;
    private final long epoch;
    private final EarlierLeaders earlierLeaders;
    private final RunnerCordons cordons;
    private final RunnerEventLog events;
    private final RunnerLossWaits lossWaits;
    private final RunnerBlocks blocks;
    private final InitialRenewals initialRenewals;
    private final Map<String, RunnerSession> sessions = new LinkedHashMap<>();
    /** Runners that are in the directory but not on the roster yet. */
    private final Set<String> notOnRoster = new HashSet<>();

    RunnerSessions(
            LeaderContext context,
            RunnerSession.Callbacks leader,
            long epoch,
            EarlierLeaders earlierLeaders,
            StoreClock storeClock) {
        this.context = context;
        this.leader = leader;
        this.epoch = epoch;
        this.earlierLeaders = earlierLeaders;
        this.events = new RunnerEventLog(context.loop(), context.log());
        this.cordons = new RunnerCordons(context.loop(), storeClock, context.fleet(), sessions, events);
        this.lossWaits = new RunnerLossWaits(context.loop(), cordons, events);
        this.blocks = new RunnerBlocks(events);
        this.initialRenewals = new InitialRenewals(context.loop());
    }

    Collection<RunnerSession> all() {
        return sessions.values();
    }

    RunnerCordons cordons() {
        return cordons;
    }

    /** Returns the session with a runner, null if there is none. */
    RunnerSession find(String runner) {
        return sessions.get(runner);
    }

    int silentCount() {
        return (int) sessions.values().stream().filter(RunnerSession::silent).count();
    }

    void closeAll() {
        initialRenewals.stop();
        sessions.values().forEach(RunnerSession::close);
    }

    /** The store has confirmed the leader. */
    void onLeadershipConfirmed() {
        sessions.values().forEach(RunnerSession::onLeadershipConfirmed);
    }

    /** Shortens the lease waits of all sessions, since all earlier leaders have ended. */
    void onEarlierLeadersEnded() {
        sessions.values().forEach(session -> session.onEarlierLeadersEnded(earlierLeaders.endedNanos()));
    }

    /** Shortens the lease waits of all sessions, since no earlier leader can raise the lease limit any more. */
    void onLeaseLimitKnown() {
        sessions.values().forEach(this::limitEarlierLeases);
    }

    /** A cordon names the end of the leases itself, which may be later if its leader did not know the limit. */
    private void limitEarlierLeases(RunnerSession session) {
        if (!session.cordon().commandsBlocked()) {
            context.leaseLimit().earlierLeasesExpiredByNanos().ifPresent(session::onEarlierLeasesLimited);
        }
    }

    /**
     * Returns whether this leader may have renewed the lease of each runner, or has stored by when it ends. Before, a
     * higher lease limit would let successors wait longer for the others.
     */
    boolean leaseLimitMayBeRaised() {
        return sessions.values().stream()
                .allMatch(session ->
                        !session.firstReport().awaited() || session.cordon().stored());
    }

    /**
     * Adds a session for a runner that earlier leaders may have sent commands to.
     *
     * @param takeoverNanos when this leader took over
     */
    void restoreFromRoster(RosterRecord roster, long takeoverNanos) {
        FleetRunner runner = context.fleet().expectStatus(roster.runner());
        long wait = FleetConstants.LEADERSHIP_LEASE.toNanos() + RunnerLease.longestNanos();
        long endNanos = cordons.endOfEarlierLeasesNanos(roster, takeoverNanos + wait);
        RunnerSession session = new RunnerSession(context, leader, epoch, runner, true, endNanos);
        if (earlierLeaders.ended()) {
            session.onEarlierLeadersEnded(earlierLeaders.endedNanos());
        }
        sessions.put(runner.id(), session);
        cordons.restore(session, roster);
        limitEarlierLeases(session);
    }

    /**
     * Applies the directory: adds sessions for new runners and marks runners that are no longer in it.
     *
     * @param ageMs time since the directory was requested, in milliseconds
     */
    void applyDirectory(List<RunnerDescriptor> descriptors, long ageMs) {
        Set<String> registered = new HashSet<>();
        for (RunnerDescriptor descriptor : descriptors) {
            registered.add(descriptor.id());
            logDraining(descriptor, ageMs);
            FleetRunner runner = context.fleet().runnerRegistered(descriptor);
            RunnerSession session = sessions.get(descriptor.id());
            if (session == null || session.runner() != runner) {
                long nowNanos = context.loop().nowNanos();
                sessions.put(descriptor.id(), new RunnerSession(context, leader, epoch, runner, false, nowNanos));
                notOnRoster.add(descriptor.id());
            } else {
                session.onDirectoryRead();
            }
        }
        for (FleetRunner runner : context.fleet().runners()) {
            if (runner.registered() && !registered.contains(runner.id())) {
                context.log().runnerLost(runner.id(), "it is no longer in the directory");
                context.metrics().runnerChanged(FleetMetrics.RunnerEvent.DEREGISTERED);
                context.fleet().runnerDeregistered(runner.id());
            }
        }
        leader.requestSchedulingRound();
    }

    private void logDraining(RunnerDescriptor descriptor, long ageMs) {
        RunnerSession session = sessions.get(descriptor.id());
        boolean drainedBefore = session != null && session.runner().descriptor().draining();
        if (descriptor.draining() && !drainedBefore) {
            context.log().runnerDraining(descriptor.id(), ageMs);
        }
    }

    /** Renews the leases of the runners on the roster until {@link #startPolling}. */
    void startInitialRenewals() {
        initialRenewals.start(sessions.values());
    }

    /** Starts to poll the runners that are on the roster, one shortly after the other. */
    void startPolling() {
        initialRenewals.stop();
        Duration delay = Duration.ZERO;
        for (RunnerSession session : sessions.values()) {
            if (!notOnRoster.contains(session.runner().id())) {
                session.schedulePoll(delay);
                delay = delay.plus(FIRST_POLL_SPACING);
            }
        }
    }

    /** Requests that runners which appeared in the directory since the last call be added to the roster. */
    void addRegisteredToRoster(Committer committer) {
        for (String id : notOnRoster) {
            RunnerSession session = sessions.get(id);
            if (session != null) {
                committer.addToRoster(session.runner().descriptor());
            }
        }
        notOnRoster.clear();
    }

    /** The runner is stored on the roster and not cordoned. */
    void onAddedToRoster(String runner) {
        cordons.onUncordonStored(runner);
        RunnerSession session = sessions.get(runner);
        if (session != null) {
            session.schedulePoll(Duration.ZERO);
        }
    }

    /**
     * Marks silent runners as lost once nothing can run on them any more, and removes runners that are no longer
     * needed.
     */
    void removeLost(LeadershipLease leadershipLease, Committer committer) {
        for (RunnerSession session : List.copyOf(sessions.values())) {
            FleetRunner runner = session.runner();
            if (session.silent()
                    && !session.lost()
                    && session.leaseExpired()
                    && leadershipConfirmedSinceLeaseEnd(session, leadershipLease, committer)) {
                logLoss(session, leadershipLease);
                context.metrics().runnerChanged(FleetMetrics.RunnerEvent.LOST);
                context.fleet().runnerLost(runner.id());
                session.markLost();
            }
            boolean idle =
                    session.idle() && runner.statusKnown() && !context.fleet().unreported(runner.id());
            boolean removable = !runner.registered() && !runner.busy() && (session.lost() || idle);
            if (removable && session.leaseExpired()) {
                session.close();
                sessions.remove(runner.id());
                lossWaits.remove(runner.id());
                blocks.remove(runner.id());
                context.fleet().runnerLost(runner.id());
                committer.removeFromRoster(runner.id());
            }
        }
        blocks.logChanges(sessions.values());
        lossWaits.logChanges(sessions.values());
    }

    private void logLoss(RunnerSession session, LeadershipLease leadershipLease) {
        long endNanos = session.leaseEndNanos();
        RunnerLoss loss = new RunnerLoss(
                session.silentNanos() / 1_000_000,
                (context.loop().nowNanos() - endNanos) / 1_000_000,
                (leadershipLease.confirmationReceivedNanos() - endNanos) / 1_000_000);
        context.log().runnerLost(session.runner().id(), session.lossReason(), loss);
    }

    /**
     * Returns whether the store has confirmed the leader since the lease of a runner ended, so that no successor can
     * have renewed the lease before.
     */
    private static boolean leadershipConfirmedSinceLeaseEnd(
            RunnerSession session, LeadershipLease leadershipLease, Committer committer) {
        boolean confirmed = leadershipLease.confirmedSince(session.leaseEndNanos());
        if (!confirmed) {
            committer.requestConfirmation();
        }
        return confirmed;
    }
}
