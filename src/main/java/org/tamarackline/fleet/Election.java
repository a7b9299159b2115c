package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Elects the leader: the node whose leader record the store accepted last.
 *
 * <p>The other nodes ping the leader. A node that finds it silent, resigned or cut off from the store replaces the
 * leader record by its own, on condition that the record is unchanged. A wrong suspicion is safe, because the epoch of
 * the new record fences the commands of the previous leader.
 */
final class Election {

    /** Ping interval of the nodes that are first in line to succeed the leader. */
    private static final Duration NEXT_SUCCESSOR_PING_INTERVAL = Duration.ofMillis(400);

    /** Ping interval of the other nodes. */
    private static final Duration PING_INTERVAL = Duration.ofMillis(1_500);

    /** Consecutive unanswered pings after which the leader is considered to have ended. */
    private static final int MAX_MISSED_PINGS = 2;

    /**
     * Time in milliseconds without a store response after which a leader is replaced by a node that the store does
     * answer.
     */
    private static final long MAX_STORE_AGE_MS = 2_500;

    /**
     * Same limit for a node whose claim is in progress; it covers a claim without a response, a retry delay and a slow
     * read.
     */
    private static final long MAX_CLAIM_STORE_AGE_MS = 4_000;

    /**
     * Longest wait for another node's claim. It is limited because the store may reject the writes of a node whose
     * reads it serves.
     */
    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(5);

    /** Additional delay before a takeover for each further rank. */
    private static final Duration TAKEOVER_DELAY_PER_RANK = Duration.ofMillis(350);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** Time without a ping after which a node no longer counts as a successor. */
    private static final Duration SUCCESSOR_EXPIRY = Duration.ofSeconds(4);

    /** Number of ranks that nodes are spread over by name until a leader reports a rank. */
    private static final int INITIAL_RANKS = 3;

    private static final int NEXT_SUCCESSOR_RANKS = 2;

    /** An epoch that is out of range, and nothing else. */
    private static final byte[] UNREADABLE_RECORD = {0};

    private final NodeServices services;
    private final EventLoop loop;
    private final RecordStore store;
    private final PeerCalls peers;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final NodeSettings settings;
    private final long incarnation;

    private final TreeMap<String, Long> successorPingNanos = new TreeMap<>();
    private Leader leader;
    /** Claim of this node whose outcome is not known, null if there is none. */
    private LeaderRecord claim;
    /** Version of the record that the claim replaces. */
    private long claimVersion;

    /** Lowest epoch that this process may lead with. */
    private long minEpoch;

    private long storeRespondedNanos;
    /** Version of the leader record that could not be decoded, which is logged once; 0 if there was none. */
    private long corruptVersion;

    private LeaderRecord followed;
    private long followedVersion;
    private int rank;
    private int missedPings;
    private boolean stopped;
    /** Runs once a successor may take over from this node after it was told to stop. */
    private Runnable onHandedOver = () -> {};
    /** When the node of the followed record first reported a claim in progress, 0 if it has not. */
    private long claimFirstSeenNanos;

    /** Identifies the current sequence of reads and pings, so that callbacks of an older one do nothing. */
    private long generation;

    /**
     * Creates an election; {@link #start} starts it.
     *
     * @param incarnation number that distinguishes this process from earlier processes of the same node
     */
    Election(NodeServices services, PeerCalls peers, NodeSettings settings, long incarnation) {
        this.services = services;
        this.loop = services.loop();
        this.store = services.store();
        this.peers = peers;
        this.log = services.log();
        this.metrics = services.metrics();
        this.settings = settings;
        this.incarnation = incarnation;
        this.storeRespondedNanos = loop.nowNanos();
        this.rank = Math.floorMod(settings.node().hashCode(), INITIAL_RANKS);
    }

    void start() {
        readRecord();
    }

    /** Returns the leader of this process, empty if another node leads. */
    Optional<Leader> leader() {
        return Optional.ofNullable(leader);
    }

    /** Returns the address of the leader, empty if this node leads or no leader is known. */
    Optional<String> leaderAddress() {
        return leader == null && followed != null ? Optional.of(followed.address()) : Optional.empty();
    }

    /**
     * Resigns the leadership, if this node has it, and never takes it again. The leader continues until its resignation
     * is stored, and then renews runner leases until it has a successor.
     *
     * @param callback runs once this node does not lead or its resignation is stored
     */
    void resign(Runnable callback) {
        stopped = true;
        generation++;
        if (leader == null) {
            callback.run();
            return;
        }
        onHandedOver = callback;
        storeResignation(leader);
    }

    private void storeResignation(Leader resigning) {
        if (leader != resigning) {
            return;
        }
        LeaderRecord resigned = resigning.record().asResigned(resigning.earlierLeadersEnded());
        long sentNanos = loop.nowNanos();
        store.transact(conditionalWrite(resigned, resigning.leaderVersion()), result -> {
            recordTransaction(FleetMetrics.TransactionPurpose.RESIGNATION, result, sentNanos);
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
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNED);
            reportHandedOver();
        } else {
            log.leadership("resignation-failed", record.epoch(), record.node(), result.toString());
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNATION_FAILED);
            loop.schedule(RETRY_DELAY, () -> storeResignation(resigning));
        }
    }

    private void recordTransaction(
            FleetMetrics.TransactionPurpose purpose, RecordStore.TransactionResult result, long sentNanos) {
        metrics.transactionCompleted(purpose, FleetMetrics.TransactionOutcome.of(result), loop.nowNanos() - sentNanos);
    }

    private void reportHandedOver() {
        onHandedOver.run();
        onHandedOver = () -> {};
    }

    /**
     * Ends a leader with a lower epoch. From now on this process does not lead with a lower epoch, even if an earlier
     * claim of it succeeds.
     */
    void stepDown(long epoch) {
        minEpoch = Math.max(minEpoch, epoch);
        if (leader != null && leader.record().epoch() < minEpoch) {
            leader.stepDown();
        } else if (claim != null && claim.epoch() < minEpoch) {
            claim = null;
            loop.execute(this::readRecord);
        }
    }

    /** Answers a ping of another node and records that node as a possible successor. */
    PeerCalls.PingResponse handlePing(String callerNode) {
        long nowNanos = loop.nowNanos();
        successorPingNanos.put(callerNode, nowNanos);
        successorPingNanos.values().removeIf(lastPingNanos -> nowNanos - lastPingNanos > SUCCESSOR_EXPIRY.toNanos());
        int callerRank = successorPingNanos.headMap(callerNode).size();
        if (leader != null && !leader.resigned()) {
            return new PeerCalls.PingResponse(leader.record().epoch(), 0, leader.storeAgeMs(), callerRank);
        }
        long claimedEpoch = stopped || claim == null ? 0 : claim.epoch();
        return new PeerCalls.PingResponse(0, claimedEpoch, (nowNanos - storeRespondedNanos) / 1_000_000, callerRank);
    }

    // ---- Finding the leader

    private void readRecord() {
        if (stopped || leader != null) {
            return;
        }
        long scheduledGeneration = ++generation;
        long sentNanos = loop.nowNanos();
        store.read(RecordStore.Table.JOBS, LeaderRecord.KEY, LeaderRecord.KEY + "\u0000", result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.LEADER_RECORD, FleetMetrics.ReadOutcome.of(result));
            if (stopped || leader != null || scheduledGeneration != generation) {
                return;
            }
            if (result instanceof RecordStore.ReadResult.Page page) {
                storeRespondedNanos = loop.nowNanos();
                onRecord(page.entries(), sentNanos);
            } else {
                log.storeState("leader-read-failing", result.toString());
                loop.schedule(RETRY_DELAY, this::readRecord);
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
            record = decodeLeader(entry);
        } catch (CorruptRecordException corrupt) {
            onCorruptRecord(entry, corrupt);
            return;
        }
        if (matchesPendingClaim(record)) {
            startLeading(record, entry.version(), sentNanos, "its claim took effect");
            return;
        }
        discardReplacedClaim(entry);
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

    /**
     * Decodes the leader record. Every claim raises the epoch by one in a transaction of its own, so an epoch above the
     * record's version was not written by a node.
     */
    private static LeaderRecord decodeLeader(RecordStore.Entry entry) throws CorruptRecordException {
        LeaderRecord record = RecordCodec.decodeLeader(entry.value());
        if (record.epoch() > entry.version()) {
            throw new CorruptRecordException(
                    entry.key(), new IllegalArgumentException("the epoch is higher than the record's version"));
        }
        return record;
    }

    /**
     * Takes over from a record that cannot be decoded. No epoch is higher than the version at which it was claimed, and
     * all claims have a lower version than this record, so the record's version is a new epoch. The earlier leaders are
     * not known and cannot be asked to step down.
     */
    private void onCorruptRecord(RecordStore.Entry entry, CorruptRecordException corrupt) {
        discardReplacedClaim(entry);
        if (corruptVersion != entry.version()) {
            corruptVersion = entry.version();
            log.skippedRecord(entry.key(), corrupt.getMessage());
            loop.schedule(TAKEOVER_DELAY_PER_RANK.multipliedBy(rank), this::readRecord);
        } else if (entry.version() > RecordCodec.MAX_EPOCH) {
            loop.schedule(RETRY_DELAY, this::readRecord);
        } else {
            long highestEpoch = entry.version() - 1;
            takeOver(
                    highestEpoch,
                    List.of(LeaderRecord.EarlierLeader.unknown(highestEpoch)),
                    entry.version(),
                    "the leader record cannot be read");
        }
    }

    /** Forgets a claim that can no longer take effect, because the record has changed since. */
    private void discardReplacedClaim(RecordStore.Entry entry) {
        if (entry.version() != claimVersion) {
            claim = null;
        }
    }

    /** Returns whether a record was written by a claim of this process whose outcome it did not know. */
    private boolean matchesPendingClaim(LeaderRecord record) {
        return claim != null && record.incarnation() == incarnation && record.epoch() == claim.epoch();
    }

    private void follow(LeaderRecord record, long version) {
        if (followedVersion != version) {
            log.leadership("leader-followed", record.epoch(), record.node(), "the store has its leader record");
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.FOLLOWED);
        }
        if (followedVersion != version) {
            claimFirstSeenNanos = 0;
        }
        followed = record;
        followedVersion = version;
        missedPings = 0;
        ping(++generation);
    }

    private void ping(long scheduledGeneration) {
        if (stopped || scheduledGeneration != generation) {
            return;
        }
        peers.ping(followed.address(), settings.node(), response -> {
            if (!stopped && scheduledGeneration == generation) {
                onPing(response, scheduledGeneration);
            }
        });
    }

    private void onPing(Optional<PeerCalls.PingResponse> response, long scheduledGeneration) {
        if (response.isPresent() && response.get().epoch() == followed.epoch()) {
            rank = response.get().rank();
            if (response.get().storeAgeMs() > MAX_STORE_AGE_MS) {
                scheduleTakeover(scheduledGeneration, "the store does not answer the leader");
                return;
            }
            missedPings = 0;
        } else if (response.isPresent() && isClaiming(response.get())) {
            if (claimFirstSeenNanos == 0) {
                claimFirstSeenNanos = loop.nowNanos();
            }
            rank = response.get().rank();
            missedPings = 0;
            loop.schedule(NEXT_SUCCESSOR_PING_INTERVAL, () -> ping(scheduledGeneration));
            return;
        } else if (response.isPresent()) {
            // The process at that address does not lead, so the record is outdated or soon will be.
            scheduleTakeover(scheduledGeneration, "the node in the leader record does not lead");
            return;
        } else {
            missedPings++;
            if (missedPings >= MAX_MISSED_PINGS) {
                scheduleTakeover(scheduledGeneration, "the leader does not answer");
                return;
            }
        }
        Duration interval =
                rank < NEXT_SUCCESSOR_RANKS || missedPings > 0 ? NEXT_SUCCESSOR_PING_INTERVAL : PING_INTERVAL;
        loop.schedule(interval, () -> ping(scheduledGeneration));
    }

    /**
     * Returns whether the node of the record does not lead only because it does not know yet that its claim succeeded.
     */
    private boolean isClaiming(PeerCalls.PingResponse response) {
        boolean tooLong = claimFirstSeenNanos != 0 && loop.nowNanos() - claimFirstSeenNanos > MAX_CLAIM_WAIT.toNanos();
        return !tooLong
                && response.claimedEpoch() >= followed.epoch()
                && response.storeAgeMs() <= MAX_CLAIM_STORE_AGE_MS;
    }

    /** Takes over after the delay of this node's rank, unless the record has changed by then. */
    private void scheduleTakeover(long scheduledGeneration, String reason) {
        missedPings = MAX_MISSED_PINGS;
        log.leadership("leader-suspected", followed.epoch(), followed.node(), reason);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.SUSPECTED);
        loop.schedule(TAKEOVER_DELAY_PER_RANK.multipliedBy(rank), () -> {
            if (scheduledGeneration == generation) {
                readRecord();
            }
        });
    }

    /**
     * Returns the transaction that replaces the leader record. Where there is none, no leader may have stored anything
     * either, because the record of a leader may have been removed.
     */
    private static RecordStore.Transaction conditionalWrite(LeaderRecord record, long version) {
        List<RecordStore.Condition> conditions = new ArrayList<>();
        conditions.add(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, version));
        if (version == 0) {
            conditions.add(new RecordStore.Condition(RecordStore.Table.PROGRESS, CommitSequence.KEY, 0));
        }
        return new RecordStore.Transaction(
                conditions,
                List.of(new RecordStore.Write(
                        RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record))));
    }

    private void takeOver(LeaderRecord replaced, long version, String reason) {
        takeOver(replaced.epoch(), replaced.possiblyActiveAfter(settings.peerAddress()), version, reason);
    }

    private void takeOver(long epoch, List<LeaderRecord.EarlierLeader> possiblyActive, long version, String reason) {
        LeaderRecord record = new LeaderRecord(
                epoch + 1, settings.node(), settings.peerAddress(), incarnation, false, possiblyActive);
        generation++;
        long sentNanos = loop.nowNanos();
        claim = record;
        claimVersion = version;
        store.transact(conditionalWrite(record, version), result -> {
            recordTransaction(FleetMetrics.TransactionPurpose.CLAIM, result, sentNanos);
            if (stopped || claim == null || claim.epoch() != record.epoch()) {
                return;
            }
            if (result instanceof RecordStore.TransactionResult.Applied applied) {
                startLeading(record, applied.version(), sentNanos, reason);
            } else {
                if (result instanceof RecordStore.TransactionResult.Conflict conflict) {
                    storeRespondedNanos = loop.nowNanos();
                    if (version == 0 && !containsLeader(conflict)) {
                        replaceRemovedRecord();
                        return;
                    }
                }
                // An earlier claim may have taken effect, so read the record to learn the outcome.
                log.leadership("takeover-failed", record.epoch(), record.node(), result.toString());
                metrics.leadershipChanged(FleetMetrics.LeadershipEvent.TAKEOVER_FAILED);
                loop.schedule(RETRY_DELAY, this::readRecord);
            }
        });
    }

    private static boolean containsLeader(RecordStore.TransactionResult.Conflict conflict) {
        return conflict.current().stream().anyMatch(entry -> entry.key().equals(LeaderRecord.KEY) && !entry.removed());
    }

    /**
     * Writes a leader record that cannot be decoded in place of one that was removed. Its version is higher than that of
     * every earlier claim, whose epochs are not known.
     */
    private void replaceRemovedRecord() {
        claim = null;
        log.skippedRecord(LeaderRecord.KEY, "it was removed although a leader has stored transactions");
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, LeaderRecord.KEY, 0)),
                List.of(new RecordStore.Write(RecordStore.Table.JOBS, LeaderRecord.KEY, UNREADABLE_RECORD)));
        store.transact(transaction, result -> loop.schedule(RETRY_DELAY, this::readRecord));
    }

    private void startLeading(LeaderRecord record, long version, long sentNanos, String reason) {
        claim = null;
        if (record.epoch() < minEpoch) {
            readRecord();
            return;
        }
        generation++;
        log.leadership("leader-started", record.epoch(), record.node(), reason);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.STARTED);
        followed = null;
        missedPings = 0;
        leader = new Leader(services, peers, record, version, why -> onLeaderEnded(record, why));
        leader.start(sentNanos);
    }

    private void onLeaderEnded(LeaderRecord record, String reason) {
        log.leadership("leader-ended", record.epoch(), record.node(), reason);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.ENDED);
        leader = null;
        reportHandedOver();
        loop.execute(this::readRecord);
    }
}
