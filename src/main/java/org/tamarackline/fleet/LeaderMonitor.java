package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;

/**
 * Pings the leader that this node follows and decides when it should be replaced.
 *
 * <p>A leader without contact to the store is replaced only if the store answers this node: an outage of the store for
 * all nodes ends with the leader that it began with. The same holds for a leader whose reads the store answers, but not its
 * transactions.
 */
final class LeaderMonitor {

    private static final String NO_ANSWER = "the leader does not answer";
    private static final String NO_WRITES = "the store answers transactions of this node but none of the leader";

    /** Consecutive unanswered pings after which the leader is considered to have ended. */
    private static final int MAX_MISSED_PINGS = 2;

    /**
     * Unanswered pings that do not count because this node was late itself. Each delays the replacement of a leader that
     * has ended by 0.7 s, of the 5 s for which runners keep their tasks.
     */
    private static final int MAX_DISREGARDED_PINGS = 1;

    /**
     * Delay before a ping is repeated that was not answered, or that was answered by a node whose claim is in progress or by
     * a leader that would hand over to this node.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    /** Time without an answer of the store to the leader, but to this node, after which the leader is replaced. */
    private static final Duration MAX_STORE_AGE = Duration.ofMillis(2_500);

    /**
     * Time without an answer of the store to any transaction of the leader after which it is replaced. The leases of all
     * runners end 7.2 s after the last one that raised their limit.
     */
    private static final Duration MAX_UNANSWERED_WRITES = Duration.ofMillis(2_500);

    /**
     * Same limit for a node of which a call has failed lately. It ends before the leases, so that rare failures of all other
     * nodes do not keep a leader that cannot write.
     */
    private static final Duration MAX_UNANSWERED_WRITES_AFTER_OUTAGE = Duration.ofMillis(4_500);

    /**
     * Same limit for a node that claims the leadership again after the leader record was its own; it covers a claim without
     * a response and a second one.
     */
    private static final Duration MAX_UNANSWERED_CLAIM = Duration.ofSeconds(2);

    /**
     * Time without any answer of the store to a node whose claim is in progress, after which nobody waits for it; it
     * covers a claim without a response, a retry delay and a slow read.
     */
    private static final Duration MAX_CLAIM_STORE_AGE = Duration.ofSeconds(4);

    /**
     * Longest wait for another node's claim. It is limited because the store may not answer the transactions of a node whose
     * reads it answers, and a node of an earlier version does not tell that.
     */
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(5);

    /** Longest time for which a leader that this node does not reach is kept because other nodes follow it. */
    private static final Duration MAX_KEPT_UNREACHED = Duration.ofSeconds(6);

    /** Additional delay before a takeover for each further rank. */
    private static final Duration TAKEOVER_DELAY_PER_RANK = Duration.ofMillis(350);

    /** Ranks from this one on take over after the same delay, in random order. */
    private static final int LAST_DELAYED_RANK = 6;

    private final EventLoop loop;
    private final PeerCalls peers;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final StoreContact storeContact;
    private final WriteProbe writeProbe;
    private PeerCalls.PingRequest request;
    private final Random random;
    private final Runnable readRecord;
    private final PingHistory pings;
    private final LoopPunctuality punctuality;

    private LeaderRecord followed;
    private long followedVersion;
    private int rank;
    private int missedPings;
    /** Unanswered pings that did not count since the leader last answered. */
    private int disregardedPings;
    /** Why the leader should be replaced, null if it should not. */
    private String suspicion;
    /** Whether the followed leader would hand over to this node, as of its last answer. */
    private boolean leaderWouldHandOver;
    /** Whether the leader was kept because the store serves neither it nor, for long enough, this node. */
    private boolean kept;
    /** When the leader was first kept although this node does not reach it, 0 if it was not. */
    private long keptUnreachedSinceNanos;
    /** When the node of the followed record first reported a claim in progress, 0 if it has not. */
    private long claimFirstSeenNanos;

    private long lastPingNanos;
    /** Identifies the current sequence of pings, so that callbacks of an older one do nothing. */
    private long generation;

    /**
     * Creates a monitor that follows no leader.
     *
     * @param storeContact contact of this node to the store
     * @param request ping that this node sends
     * @param initialRank rank of this node until a leader reports one
     * @param readRecord reads the leader record again; {@link #follow} or {@link #resume} must follow unless this node takes
     *     over
     */
    LeaderMonitor(
            NodeServices services,
            PeerCalls peers,
            StoreContact storeContact,
            PeerCalls.PingRequest request,
            int initialRank,
            Random random,
            Runnable readRecord) {
        this.loop = services.loop();
        this.peers = peers;
        this.log = services.log();
        this.metrics = services.metrics();
        this.storeContact = storeContact;
        this.writeProbe = new WriteProbe(services);
        this.request = request;
        this.rank = initialRank;
        this.random = random;
        this.readRecord = readRecord;
        this.pings = new PingHistory(loop);
        this.punctuality = new LoopPunctuality(loop);
    }

    /** Follows the leader of a record, unless it does so already, and pings it. */
    void follow(LeaderRecord record, long version) {
        if (followed == null || followedVersion != version) {
            log.leadership("leader-followed", record.epoch(), record.node(), "the store has its leader record");
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.FOLLOWED);
            claimFirstSeenNanos = 0;
            kept = false;
            leaderWouldHandOver = false;
            pings.clear();
            disregardedPings = 0;
            keptUnreachedSinceNanos = 0;
        }
        followed = record;
        followedVersion = version;
        missedPings = 0;
        suspicion = null;
        ping();
    }

    /** Stops to follow the leader. */
    void stop() {
        generation++;
        punctuality.stop();
        followed = null;
        suspicion = null;
        leaderWouldHandOver = false;
        missedPings = 0;
    }

    /** Returns the address of the followed leader. */
    Optional<String> address() {
        return Optional.ofNullable(followed).map(LeaderRecord::address);
    }

    /** Returns why the leader of a version of the leader record should be replaced; empty if it should not. */
    Optional<String> suspicion(long version) {
        return followed != null && followedVersion == version ? Optional.ofNullable(suspicion) : Optional.empty();
    }

    /** Returns whether the followed leader is to be replaced only because it does not answer this node. */
    boolean suspectsSilentLeader() {
        return NO_ANSWER.equals(suspicion);
    }

    /**
     * Keeps the followed leader although it does not answer this node, because other nodes follow it; returns false if it
     * has been kept for long enough.
     */
    boolean keepUnreached(int followers) {
        if (keptUnreachedSinceNanos == 0) {
            keptUnreachedSinceNanos = loop.nowNanos();
            log.leadership(
                    "leader-kept",
                    followed.epoch(),
                    followed.node(),
                    "it does not answer this node, but " + followers + " nodes follow it");
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.KEPT);
        }
        if (loop.nowNanos() - keptUnreachedSinceNanos > MAX_KEPT_UNREACHED.toNanos()) {
            return false;
        }
        suspicion = null;
        generation++;
        schedule(RETRY_DELAY, this::ping);
        return true;
    }

    /** Returns the delay after which this node takes over, so that the successors try one after the other. */
    Duration takeoverDelay() {
        Duration delay = TAKEOVER_DELAY_PER_RANK.multipliedBy(Math.min(rank, LAST_DELAYED_RANK));
        return rank < LAST_DELAYED_RANK
                ? delay
                : delay.plusNanos((long) (random.nextDouble() * TAKEOVER_DELAY_PER_RANK.toNanos()));
    }

    /** Lets other nodes take over first until a leader answers, because no node reached this one while it led. */
    void onLedWithoutFollowers() {
        rank = LAST_DELAYED_RANK;
    }

    /** Continues to ping the followed leader after the leader record could not be read; returns whether there is one. */
    boolean resume() {
        if (followed != null) {
            ping();
        }
        return followed != null;
    }

    /** Pings the leader now, because it left a request of this node unanswered. */
    void checkNow() {
        if (followed != null && suspicion == null && loop.nowNanos() - lastPingNanos >= RETRY_DELAY.toNanos()) {
            ping();
        }
    }

    /** Records a step of the event loop that was due at a time and runs now. */
    void onLoopStep(long dueNanos) {
        pings.onStep(dueNanos);
    }

    private void ping() {
        long pingGeneration = ++generation;
        long sentNanos = loop.nowNanos();
        lastPingNanos = sentNanos;
        punctuality.start();
        peers.ping(followed.address(), currentRequest(), result -> {
            if (pingGeneration == generation) {
                onPing(result, sentNanos);
            }
        });
    }

    private PeerCalls.PingRequest currentRequest() {
        return request.withWriteStatus(Optional.of(
                new PeerCalls.WriteStatus(storeContact.unansweredWrites().forMs(), writeProbe.answeredLately())));
    }

    private void onPing(PeerCalls.PingResult result, long sentNanos) {
        punctuality.stop();
        switch (result) {
            case PeerCalls.PingFailure failure -> {
                pings.onFailure(failure.cause(), sentNanos);
                onMissedPing();
            }
            case PeerCalls.PingResponse response -> onPingResponse(response, sentNanos);
        }
    }

    private void onPingResponse(PeerCalls.PingResponse response, long sentNanos) {
        if (response.epoch() == followed.epoch()) {
            rank = response.rank();
            missedPings = 0;
            disregardedPings = 0;
            keptUnreachedSinceNanos = 0;
            request = request.withAnsweredEpoch(followed.epoch());
            pings.onAnswer(response);
            onLeaderAnswered(response);
            leaderWouldHandOver = response.wouldHandOver();
            if (leaderWouldHandOver) {
                probeForHandover();
            }
        } else if (isClaiming(response)) {
            rank = response.rank();
            missedPings = 0;
            schedule(RETRY_DELAY, this::ping);
        } else {
            pings.onFailure("answered with epoch %d".formatted(response.epoch()), sentNanos);
            // The process at that address does not lead, so the record is outdated or soon will be.
            suspect(
                    "the node in the leader record does not lead",
                    leaderWouldHandOver ? Duration.ZERO : takeoverDelay());
        }
    }

    private void onMissedPing() {
        request = request.withAnsweredEpoch(0);
        if (punctuality.late() && disregardedPings < MAX_DISREGARDED_PINGS) {
            disregardedPings++;
            ping();
            return;
        }
        missedPings++;
        if (missedPings >= MAX_MISSED_PINGS) {
            suspect(NO_ANSWER);
            pingWhileSuspected();
        } else {
            schedule(RETRY_DELAY, this::ping);
        }
    }

    /** Pings a suspected leader once more, because the claim of this node to replace it has failed. */
    void pingAgainIfSuspected() {
        if (suspicion != null) {
            pingWhileSuspected();
        }
    }

    /** Pings the leader while this node waits for its turn to take over; an answer in time ends the suspicion. */
    private void pingWhileSuspected() {
        long suspectedGeneration = generation;
        long sentNanos = loop.nowNanos();
        peers.ping(followed.address(), currentRequest(), result -> {
            if (suspectedGeneration == generation
                    && result instanceof PeerCalls.PingResponse response
                    && response.epoch() == followed.epoch()) {
                generation++;
                onPingResponse(response, sentNanos);
            }
        });
    }

    private void onLeaderAnswered(PeerCalls.PingResponse response) {
        suspicion = null;
        if (response.storeAgeMs() > MAX_STORE_AGE.toMillis()) {
            onLeaderWithoutStore();
        } else if (response.unansweredWritesMs() > MAX_UNANSWERED_WRITES.toMillis()) {
            onLeaderWithoutWrites(response);
        } else {
            kept = false;
            // A node that the leader would hand over to has a short turn to take over.
            schedule(response.wouldHandOver() ? RETRY_DELAY : Successors.pingInterval(rank), this::ping);
        }
    }

    /** Tells the leader soon whether the store answers the transactions of this node, to which it would hand over. */
    private void probeForHandover() {
        if (writeProbe.answeredLately()) {
            return;
        }
        long probeGeneration = generation;
        writeProbe.start(answered -> {
            if (answered && probeGeneration == generation) {
                ping();
            }
        });
    }

    private void onLeaderWithoutStore() {
        if (storeContact.uninterruptedFor(MAX_STORE_AGE)) {
            suspect("the store answers this node but not the leader");
        } else {
            reportKept("the store answers neither the leader nor, for long enough, this node");
            // The read tells whether the store answers this node.
            schedule(Successors.pingInterval(rank), readRecord);
        }
    }

    /**
     * Replaces a leader that cannot write if this node can; the leader is pinged once more after this node's probe. After an
     * outage for all nodes, the next transaction of the leader may be sent later than a probe.
     */
    private void onLeaderWithoutWrites(PeerCalls.PingResponse response) {
        boolean mayBeOutage = response.unansweredWritesMs() <= MAX_UNANSWERED_WRITES_AFTER_OUTAGE.toMillis();
        if (mayBeOutage && storeContact.failedWithin(MAX_STORE_AGE)) {
            reportKept("the store answers no transaction of the leader, and calls of this node have failed lately");
            schedule(Successors.pingInterval(rank), this::ping);
            return;
        }
        if (writeProbe.answeredLately()) {
            suspect(NO_WRITES, Duration.ZERO);
        } else {
            schedule(takeoverDelay(), this::probeForTakeover);
        }
    }

    private void probeForTakeover() {
        schedule(Successors.pingInterval(rank), this::ping);
        long probeGeneration = generation;
        writeProbe.start(answered -> {
            if (probeGeneration != generation) {
                return;
            }
            if (answered) {
                // By then the leader has sent another transaction, which is answered if the store serves all nodes
                // again.
                schedule(RETRY_DELAY, this::ping);
            } else {
                reportKept("the store answers transactions neither of the leader nor of this node");
            }
        });
    }

    private void reportKept(String reason) {
        if (!kept) {
            kept = true;
            log.leadership("leader-kept", followed.epoch(), followed.node(), reason);
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.KEPT);
        }
    }

    /**
     * Returns whether the node of the record does not lead only because it does not know yet that its claim succeeded.
     */
    private boolean isClaiming(PeerCalls.PingResponse response) {
        if (response.claimedEpoch() < followed.epoch()
                || response.storeAgeMs() > MAX_CLAIM_STORE_AGE.toMillis()
                || claimsInVain(response)) {
            return false;
        }
        if (claimFirstSeenNanos == 0) {
            claimFirstSeenNanos = loop.nowNanos();
        }
        return loop.nowNanos() - claimFirstSeenNanos <= MAX_CLAIM_WAIT.toNanos();
    }

    /** Returns whether the store does not answer the claim of a node; one that the followed record shows has succeeded. */
    private boolean claimsInVain(PeerCalls.PingResponse response) {
        return response.claimedEpoch() > followed.epoch()
                && response.unansweredWritesMs() > MAX_UNANSWERED_CLAIM.toMillis();
    }

    /** Lets this node take over after the delay of its rank, unless the record has changed by then. */
    private void suspect(String reason) {
        suspect(reason, takeoverDelay());
    }

    private void suspect(String reason, Duration delay) {
        if (suspicion == null) {
            log.leaderSuspected(followed, reason, pings.suspicion());
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.SUSPECTED);
        }
        suspicion = reason;
        schedule(delay, readRecord);
    }

    /** Schedules an action unless the leader is pinged again or another one is followed before. */
    private void schedule(Duration delay, Runnable action) {
        long scheduledGeneration = generation;
        long dueNanos = loop.nowNanos() + delay.toNanos();
        loop.schedule(delay, () -> {
            if (scheduledGeneration == generation) {
                onLoopStep(dueNanos);
                action.run();
            }
        });
    }
}
