package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides which node leads: the one whose record the store accepted last.
 *
 * <p>The other nodes ask the leader at intervals whether it is well. One that finds it silent, resigned, or cut off from the
 * store writes its own record on condition that the leader's is unchanged. Safety does not depend on the judgement: the
 * epoch of the record fences the orders of the leader before.
 */
final class Election {

    /** Interval of questions of the nodes that would succeed first. */
    private static final Duration NEAR_PING = Duration.ofMillis(400);

    /** Interval of questions of the other nodes. */
    private static final Duration FAR_PING = Duration.ofMillis(1_500);

    /** Unanswered questions in a row after which a leader is taken to have ended. */
    private static final int MAX_MISSED_PINGS = 2;

    /** Time without an answer of the store after which a leader is replaced by a node that the store serves. */
    private static final long MAX_STORE_AGE_MS = 2_500;

    /** The same for a node whose claim is in progress: a claim without an answer, a pause and a slow read fit in. */
    private static final long MAX_CLAIM_STORE_AGE_MS = 4_000;

    /** Longest time that a claim is waited for: the store may refuse the writes of a node that reads. */
    private static final Duration MAX_CLAIM = Duration.ofSeconds(5);

    /** Additional wait of each further rank before it takes over. */
    private static final Duration RANK_DELAY = Duration.ofMillis(350);

    private static final Duration RETRY = Duration.ofMillis(300);

    /** A node that has not asked for this long no longer counts as a successor. */
    private static final Duration SUCCESSOR_MEMORY = Duration.ofSeconds(4);

    /** Node names are spread over this many ranks while no leader has told a rank. */
    private static final int UNKNOWN_RANKS = 3;

    private static final int NEAR_RANKS = 2;

    private final NodeServices services;
    private final EventLoop loop;
    private final RecordStore store;
    private final PeerCalls peers;
    private final DecisionLog log;
    private final NodeSettings settings;
    private final long incarnation;

    private final TreeMap<String, Long> successorsNanos = new TreeMap<>();
    private Leader leader;
    /** Claim of this node whose outcome is not known, null if there is none. */
    private LeaderRecord claim;
    /** Version of the record that the claim replaces. */
    private long claimVersion;

    /** This process leads with no lower epoch. */
    private long promisedEpoch;

    private long storeAnsweredNanos;
    private LeaderRecord followed;
    private long followedVersion;
    private int rank;
    private int missedPings;
    private boolean stopped;
    /** Runs once this node, told to stop, may be succeeded. */
    private Runnable onHandedOver = () -> {};
    /** When the node of the followed record was first heard to claim, 0 if it was not. */
    private long claimSeenNanos;

    /** Identifies the current plan of questions, so that an outdated one ends. */
    private long plan;

    /**
     * Creates an election that does nothing yet.
     *
     * @param incarnation number that tells this process from earlier ones of the same node
     */
    Election(NodeServices services, PeerCalls peers, NodeSettings settings, long incarnation) {
        this.services = services;
        this.loop = services.loop();
        this.store = services.store();
        this.peers = peers;
        this.log = services.log();
        this.settings = settings;
        this.incarnation = incarnation;
        this.storeAnsweredNanos = loop.nowNanos();
        this.rank = Math.floorMod(settings.node().hashCode(), UNKNOWN_RANKS);
    }

    void start() {
        readRecord();
    }

    /** Returns the leader of this process, empty if another node leads. */
    Optional<Leader> leader() {
        return Optional.ofNullable(leader);
    }

    /** Returns where the leader is reached, empty if this node leads or no leader is known. */
    Optional<String> leaderAddress() {
        return leader == null && followed != null ? Optional.of(followed.address()) : Optional.empty();
    }

    /**
     * Gives up the lead, if this node has it, and never takes it again. A leader goes on until its resignation is stored, and
     * renews leases until it has a successor.
     *
     * @param done runs once this node does not lead or its resignation is stored
     */
    void resign(Runnable done) {
        stopped = true;
        plan++;
        if (leader == null) {
            done.run();
            return;
        }
        onHandedOver = done;
        storeResignation(leader);
    }

    private void storeResignation(Leader resigning) {
        if (leader != resigning) {
            return;
        }
        LeaderRecord resigned = resigning.record().asResigned(resigning.earlierLeadersEnded());
        long sentNanos = loop.nowNanos();
        store.transact(writing(resigned, resigning.leaderVersion()), result -> {
            if (leader == resigning) {
                onResignation(resigning, result, sentNanos);
            }
        });
    }

    private void onResignation(Leader resigning, RecordStore.TransactionResult result, long sentNanos) {
        switch (result) {
            case RecordStore.TransactionResult.Applied applied -> {
                resigning.onLeadershipConfirmed(sentNanos);
                resigning.onResignationStored();
            }
            case RecordStore.TransactionResult.Conflict conflict ->
                conflict.current().forEach(resigning::onLeaderRecordChanged);
            default -> {}
        }
        if (leader != resigning) {
            return;
        }
        LeaderRecord record = resigning.record();
        if (resigning.resigned()) {
            log.leadership("leader-resigned", record.epoch(), record.node(), result.toString());
            handedOver();
        } else {
            log.leadership("resignation-failed", record.epoch(), record.node(), result.toString());
            loop.schedule(RETRY, () -> storeResignation(resigning));
        }
    }

    private void handedOver() {
        onHandedOver.run();
        onHandedOver = () -> {};
    }

    /** Ends a leader of a lower epoch; from now on this process leads with no lower epoch, whatever it claimed before. */
    void stepDown(long epoch) {
        promisedEpoch = Math.max(promisedEpoch, epoch);
        if (leader != null && leader.record().epoch() < promisedEpoch) {
            leader.stepDown();
        } else if (claim != null && claim.epoch() < promisedEpoch) {
            claim = null;
            loop.execute(this::readRecord);
        }
    }

    /** Answers the question of a node whether this leader is well; takes note of the node as a successor. */
    PeerCalls.PingAnswer answerPing(String node) {
        long nowNanos = loop.nowNanos();
        successorsNanos.put(node, nowNanos);
        successorsNanos.values().removeIf(seen -> nowNanos - seen > SUCCESSOR_MEMORY.toNanos());
        int position = successorsNanos.headMap(node).size();
        if (leader != null && !leader.resigned()) {
            return new PeerCalls.PingAnswer(leader.record().epoch(), 0, leader.storeAgeMs(), position);
        }
        long claimedEpoch = stopped || claim == null ? 0 : claim.epoch();
        return new PeerCalls.PingAnswer(0, claimedEpoch, (nowNanos - storeAnsweredNanos) / 1_000_000, position);
    }

    // ---- Finding the leader

    private void readRecord() {
        if (stopped || leader != null) {
            return;
        }
        long current = ++plan;
        long sentNanos = loop.nowNanos();
        store.read(RecordStore.Table.JOBS, LeaderRecord.KEY, LeaderRecord.KEY + "\u0000", result -> {
            if (stopped || leader != null || current != plan) {
                return;
            }
            if (result instanceof RecordStore.ReadResult.Page page) {
                storeAnsweredNanos = loop.nowNanos();
                onRecord(page.entries(), sentNanos);
            } else {
                log.storeState("leader-read-failing", result.toString());
                loop.schedule(RETRY, this::readRecord);
            }
        });
    }

    private void onRecord(List<RecordStore.Entry> entries, long sentNanos) {
        if (entries.isEmpty()) {
            takeOver(0, List.of(), 0, "no node has led yet");
            return;
        }
        RecordStore.Entry entry = entries.getFirst();
        LeaderRecord record;
        try {
            record = RecordCodec.readLeader(entry.value());
        } catch (CorruptRecordException corrupt) {
            log.skippedRecord(entry.key(), corrupt.getMessage());
            loop.schedule(RETRY, this::readRecord);
            return;
        }
        if (ownClaim(record)) {
            lead(record, entry.version(), sentNanos, "its claim is in the store");
            return;
        }
        if (entry.version() != claimVersion) {
            // The claim's condition no longer holds, so it cannot take effect any more.
            claim = null;
        }
        if (record.node().equals(settings.node())) {
            takeOver(record, entry.version(), "an earlier process of this node led");
        } else if (followed != null && followedVersion == entry.version() && missedPings >= MAX_MISSED_PINGS) {
            takeOver(record, entry.version(), "the leader does not answer");
        } else if (record.resigned()) {
            takeOver(record, entry.version(), "the leader has resigned");
        } else {
            follow(record, entry.version());
        }
    }

    /** Returns whether a record was written by a claim of this process that it does not lead with yet. */
    private boolean ownClaim(LeaderRecord record) {
        return claim != null && record.incarnation() == incarnation && record.epoch() == claim.epoch();
    }

    private void follow(LeaderRecord record, long version) {
        if (followedVersion != version) {
            log.leadership("leader-followed", record.epoch(), record.node(), "its record is in the store");
        }
        if (followedVersion != version) {
            claimSeenNanos = 0;
        }
        followed = record;
        followedVersion = version;
        missedPings = 0;
        ping(++plan);
    }

    private void ping(long current) {
        if (stopped || current != plan) {
            return;
        }
        peers.ping(followed.address(), settings.node(), answer -> {
            if (!stopped && current == plan) {
                onPing(answer, current);
            }
        });
    }

    private void onPing(Optional<PeerCalls.PingAnswer> answer, long current) {
        if (answer.isPresent() && answer.get().epoch() == followed.epoch()) {
            rank = answer.get().rank();
            if (answer.get().storeAgeMs() > MAX_STORE_AGE_MS) {
                replace(current, "the store does not answer the leader");
                return;
            }
            missedPings = 0;
        } else if (answer.isPresent() && claiming(answer.get())) {
            if (claimSeenNanos == 0) {
                claimSeenNanos = loop.nowNanos();
            }
            rank = answer.get().rank();
            missedPings = 0;
            loop.schedule(NEAR_PING, () -> ping(current));
            return;
        } else if (answer.isPresent()) {
            // The process there does not lead, so the record is outdated or soon will be.
            replace(current, "the node of the record does not lead");
            return;
        } else {
            missedPings++;
            if (missedPings >= MAX_MISSED_PINGS) {
                replace(current, "the leader does not answer");
                return;
            }
        }
        Duration pause = rank < NEAR_RANKS || missedPings > 0 ? NEAR_PING : FAR_PING;
        loop.schedule(pause, () -> ping(current));
    }

    /** Returns whether the node of the record does not lead only because it does not know yet that it may. */
    private boolean claiming(PeerCalls.PingAnswer answer) {
        boolean tooLong = claimSeenNanos != 0 && loop.nowNanos() - claimSeenNanos > MAX_CLAIM.toNanos();
        return !tooLong && answer.claimedEpoch() >= followed.epoch() && answer.storeAgeMs() <= MAX_CLAIM_STORE_AGE_MS;
    }

    /** Takes over unless the record changes before it is this node's turn. */
    private void replace(long current, String reason) {
        missedPings = MAX_MISSED_PINGS;
        log.leadership("leader-suspected", followed.epoch(), followed.node(), reason);
        loop.schedule(RANK_DELAY.multipliedBy(rank), () -> {
            if (current == plan) {
                readRecord();
            }
        });
    }

    private static RecordStore.Transaction writing(LeaderRecord record, long version) {
        return new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, version)),
                List.of(new RecordStore.Write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.leader(record))));
    }

    private void takeOver(LeaderRecord replaced, long version, String reason) {
        takeOver(replaced.epoch(), replaced.possiblyActiveAfter(settings.peerAddress()), version, reason);
    }

    private void takeOver(long epoch, List<LeaderRecord.EarlierLeader> possiblyActive, long version, String reason) {
        LeaderRecord record = new LeaderRecord(
                epoch + 1, settings.node(), settings.peerAddress(), incarnation, false, possiblyActive);
        plan++;
        long sentNanos = loop.nowNanos();
        claim = record;
        claimVersion = version;
        store.transact(writing(record, version), result -> {
            if (stopped || claim == null || claim.epoch() != record.epoch()) {
                return;
            }
            if (result instanceof RecordStore.TransactionResult.Applied applied) {
                lead(record, applied.version(), sentNanos, reason);
            } else {
                if (result instanceof RecordStore.TransactionResult.Conflict) {
                    storeAnsweredNanos = loop.nowNanos();
                }
                // An earlier attempt may have taken effect, so the record tells the outcome.
                log.leadership("takeover-failed", record.epoch(), record.node(), result.toString());
                loop.schedule(RETRY, this::readRecord);
            }
        });
    }

    private void lead(LeaderRecord record, long version, long sentNanos, String reason) {
        claim = null;
        if (record.epoch() < promisedEpoch) {
            readRecord();
            return;
        }
        plan++;
        log.leadership("leader-started", record.epoch(), record.node(), reason);
        followed = null;
        missedPings = 0;
        leader = new Leader(services, peers, record, version, why -> deposed(record, why));
        leader.start(sentNanos);
    }

    private void deposed(LeaderRecord record, String reason) {
        log.leadership("leader-ended", record.epoch(), record.node(), reason);
        leader = null;
        handedOver();
        loop.execute(this::readRecord);
    }
}
