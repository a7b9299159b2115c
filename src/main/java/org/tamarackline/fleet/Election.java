package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Elects the leader: the node whose leader record the store accepted last.
 *
 * <p>The other nodes follow the leader with a {@link LeaderMonitor}. A node that finds it silent, resigned or cut off
 * from the store replaces the leader record by its own, on condition that the record is unchanged. A wrong suspicion is
 * safe, because the epoch of the new record fences the commands of the previous leader.
 *
 * <p>A leader that lacks the capacity for its fleet resigns in favour of a node that has it ({@link CapacityPolicy}).
 */
final class Election implements Claim.Callbacks {

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** Longest delay between two reads of the leader record while the store does not answer. */
    private static final Duration MAX_READ_RETRY_DELAY = Duration.ofMillis(1_200);

    /**
     * Time after which a leader that resigned in favour of another node leads again if none has succeeded it. The leases
     * that it renews do not expire meanwhile.
     */
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(4);

    /** Number of ranks that nodes are spread over by name until a leader reports a rank. */
    private static final int INITIAL_RANKS = 3;

    private final NodeServices services;
    private final EventLoop loop;
    private final LeaderRecordStore records;
    private final StoredFollowers storedFollowers;
    private final PeerCalls peers;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final NodeSettings settings;
    private final long incarnation;
    private final StoreContact storeContact;
    private final Successors successors;
    private final LeaderMonitor monitor;
    private final CapacityPolicy capacityPolicy;
    private final SuccessorTurn successorTurn;
    private final RetryBackoff readBackoff;

    private Leader leader;
    /** Claim of this node whose outcome is not known, null if there is none. */
    private Claim claim;

    /** Lowest epoch that this process may lead with. */
    private long minEpoch;

    /** Version of the leader record that could not be decoded, which is logged once; 0 if there was none. */
    private long corruptVersion;

    private boolean firstClaimDelayed;
    private boolean resigning;
    private boolean stopped;
    /** Runs once a successor may take over from this node after it was told to stop. */
    private Runnable onHandedOver = () -> {};

    /** Identifies the current read of the leader record, so that callbacks of an older one do nothing. */
    private long readGeneration;

    /**
     * Creates an election; {@link #start} starts it.
     *
     * @param services services of the node, with a store that reports to {@code storeContact}
     * @param incarnation number that distinguishes this process from earlier processes of the same node
     */
    Election(
            NodeServices services,
            StoreContact storeContact,
            PeerCalls peers,
            NodeSettings settings,
            long incarnation) {
        this.services = services;
        this.loop = services.loop();
        this.records = new LeaderRecordStore(services);
        this.storedFollowers = new StoredFollowers(services);
        this.peers = peers;
        this.log = services.log();
        this.metrics = services.metrics();
        this.settings = settings;
        this.incarnation = incarnation;
        this.storeContact = storeContact;
        this.successors = new Successors(loop);
        Random random = new Random(incarnation);
        this.monitor = new LeaderMonitor(
                services,
                peers,
                storeContact,
                new PeerCalls.PingRequest(settings.node(), settings.capacity()),
                Math.floorMod(settings.node().hashCode(), INITIAL_RANKS),
                random,
                this::readRecord);
        this.capacityPolicy = new CapacityPolicy(loop, settings.capacity());
        this.successorTurn = new SuccessorTurn(loop, log, settings.node());
        this.readBackoff = new RetryBackoff(RETRY_DELAY, MAX_READ_RETRY_DELAY, random);
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
        return leader == null ? monitor.address() : Optional.empty();
    }

    /** Checks soon whether the leader has changed, because it left a request of this node unanswered. */
    void checkLeader() {
        if (!stopped && leader == null) {
            monitor.checkNow();
        }
    }

    /** Records a step of the event loop that was due at a time and runs now, for the log of suspicions. */
    void onLoopStep(long dueNanos) {
        monitor.onLoopStep(dueNanos);
    }

    /** Answers a ping of another node and records that node as a possible successor. */
    PeerCalls.PingResponse handlePing(PeerCalls.PingRequest request) {
        int callerRank = successors.onPing(request);
        if (leader != null && request.answeredEpoch() == leader.record().epoch()) {
            leader.followers().onPing(request.node());
        }
        if (leader != null && !leader.resigned()) {
            handOverIfTooSmall();
        }
        long unansweredWritesMs = storeContact.unansweredWrites().forMs();
        if (leader != null && !leader.resigned()) {
            boolean wouldHandOver =
                    leader.loaded() && capacityPolicy.wouldHandOverTo(request.capacity(), leader.runnerCount());
            return new PeerCalls.PingResponse(
                    leader.record().epoch(), 0, leader.storeAgeMs(), callerRank, unansweredWritesMs, wouldHandOver);
        }
        long claimedEpoch = stopped || claim == null ? 0 : claim.record().epoch();
        return new PeerCalls.PingResponse(
                0, claimedEpoch, storeContact.answerAgeMs(), callerRank, unansweredWritesMs, false);
    }

    /** Lets the leader of this process store a job; refuses it at once if the store does not answer. */
    void submit(String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        if (leader == null) {
            callback.accept(new JobRequestHandler.Outcome.Unavailable("the node does not lead"));
        } else if (!storeContact.answering()) {
            callback.accept(new JobRequestHandler.Outcome.Unavailable("the store does not answer the leader"));
        } else {
            leader.submit(job, value, callback);
        }
    }

    // ---- Resigning

    /**
     * Resigns the leadership, if this node has it, and never takes it again. The leader continues until its resignation
     * is stored, and then renews runner leases until it has a successor.
     *
     * @param callback runs once this node does not lead or its resignation is stored
     */
    void resign(Runnable callback) {
        stopped = true;
        readGeneration++;
        monitor.stop();
        if (leader == null) {
            callback.run();
            return;
        }
        onHandedOver = callback;
        if (leader.resigned()) {
            reportHandedOver();
        } else if (!resigning) {
            storeResignation(leader);
        }
    }

    private void handOverIfTooSmall() {
        if (stopped || resigning || !leader.loaded()) {
            return;
        }
        capacityPolicy.reasonToHandOver(leader.runnerCount(), successors).ifPresent(reason -> {
            LeaderRecord record = leader.record();
            log.leadership("leader-yields", record.epoch(), record.node(), reason);
            metrics.leadershipChanged(FleetMetrics.LeadershipEvent.YIELDED);
            storeResignation(leader);
        });
    }

    private void storeResignation(Leader resigningLeader) {
        resigning = true;
        Runnable onStored = () -> {
            loop.schedule(HANDOVER_TIMEOUT, () -> endUnlessSucceeded(resigningLeader));
            reportHandedOver();
        };
        new Resignation(
                        services,
                        records,
                        resigningLeader,
                        () -> leader == resigningLeader,
                        () -> CapacityPolicy.successor(successors),
                        onStored)
                .store();
    }

    /** Lets this node lead again if it resigned in favour of another node which then did not take over. */
    private void endUnlessSucceeded(Leader resignedLeader) {
        if (leader == resignedLeader && !stopped) {
            capacityPolicy.onNotSucceeded();
            leader.endUnsucceeded();
        }
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
        } else if (claim != null && claim.record().epoch() < minEpoch) {
            claim = null;
            loop.execute(this::readRecord);
        }
    }

    // ---- Finding the leader

    private void readRecord() {
        readRecord(false);
    }

    private void readRecord(boolean newConnection) {
        if (stopped || leader != null) {
            return;
        }
        long generation = ++readGeneration;
        long sentNanos = loop.nowNanos();
        records.read(newConnection, result -> {
            if (stopped || leader != null || generation != readGeneration) {
                return;
            }
            if (result instanceof RecordStore.ReadResult.Page page) {
                readBackoff.reset();
                onRecord(page.entries(), sentNanos);
            } else {
                log.storeState("leader-read-failing", result.toString());
                if (!monitor.resume()) {
                    loop.schedule(readBackoff.next(), this::readRecord);
                }
            }
        });
    }

    private void onRecord(List<RecordStore.Entry> entries, long sentNanos) {
        if (entries.isEmpty()) {
            claimFirst();
            return;
        }
        RecordStore.Entry entry = entries.getFirst();
        LeaderRecord record;
        try {
            record = LeaderRecordStore.decode(entry);
        } catch (CorruptRecordException corrupt) {
            onCorruptRecord(entry, corrupt);
            return;
        }
        if (claim != null && claim.wrote(record)) {
            startLeading(record, entry.version(), sentNanos, "its claim took effect");
            return;
        }
        discardReplacedClaim(entry);
        Optional<String> suspicion = monitor.suspicion(entry.version());
        if (record.node().equals(settings.node())) {
            takeOver(record, entry.version(), "an earlier process of this node led");
        } else if (suspicion.isPresent() && monitor.suspectsSilentLeader()) {
            takeOverUnlessFollowed(record, entry.version(), suspicion.get());
        } else if (suspicion.isPresent()) {
            takeOver(record, entry.version(), suspicion.get());
        } else if (successorTurn.isOfOther(record, entry.version())) {
            loop.schedule(RETRY_DELAY, this::readRecord);
        } else if (record.resigned()) {
            takeOver(record, entry.version(), "the leader has resigned");
        } else {
            monitor.follow(record, entry.version());
        }
    }

    /** Claims the leadership that no node has had yet; nodes with little capacity let others try first. */
    private void claimFirst() {
        Duration delay = capacityPolicy.firstClaimDelay();
        if (firstClaimDelayed || delay.isZero()) {
            takeOver(0, List.of(), 1, 0, "no node has led yet");
        } else {
            firstClaimDelayed = true;
            loop.schedule(delay, this::readRecord);
        }
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
            loop.schedule(monitor.takeoverDelay(), this::readRecord);
        } else if (entry.version() > RecordCodec.MAX_EPOCH) {
            loop.schedule(RETRY_DELAY, this::readRecord);
        } else {
            long highestEpoch = entry.version() - 1;
            takeOver(
                    highestEpoch,
                    List.of(LeaderRecord.EarlierLeader.unknown(highestEpoch)),
                    highestEpoch + 1,
                    entry.version(),
                    "the leader record cannot be read");
        }
    }

    /** Forgets a claim that can no longer take effect, because the record has changed since. */
    private void discardReplacedClaim(RecordStore.Entry entry) {
        if (claim != null && !claim.replaces(entry.version())) {
            claim = null;
        }
    }

    // ---- Taking over

    /**
     * Takes over from a leader that does not answer this node, unless other nodes follow it. Otherwise a node that is cut off
     * from its peers and the node that replaces it would take over from each other again and again.
     */
    private void takeOverUnlessFollowed(LeaderRecord record, long version, String reason) {
        long generation = ++readGeneration;
        storedFollowers.read(record.epoch(), followers -> {
            if (stopped || leader != null || generation != readGeneration) {
                return;
            }
            if (monitor.suspicion(version).isEmpty()) {
                // The leader has answered meanwhile, and the monitor pings it.
                return;
            }
            if (followers == 0 || !monitor.keepUnreached(followers)) {
                takeOver(record, version, reason);
            }
        });
    }

    private void takeOver(LeaderRecord replaced, long version, String reason) {
        long limitedSinceEpoch = replaced.leasesLimitedSinceEpoch();
        takeOver(
                replaced.epoch(),
                replaced.possiblyActiveAfter(settings.peerAddress()),
                limitedSinceEpoch == 0 ? replaced.epoch() + 1 : limitedSinceEpoch,
                version,
                reason);
    }

    private void takeOver(
            long epoch,
            List<LeaderRecord.EarlierLeader> possiblyActive,
            long leasesLimitedSinceEpoch,
            long version,
            String reason) {
        LeaderRecord record = new LeaderRecord(
                epoch + 1,
                settings.node(),
                settings.peerAddress(),
                incarnation,
                possiblyActive,
                leasesLimitedSinceEpoch);
        readGeneration++;
        if (claim == null || !claim.isSameAs(record, version)) {
            claim = new Claim(services, records, record, version, reason, this);
        }
        claim.send();
    }

    @Override
    public boolean awaits(Claim sent) {
        return !stopped && claim == sent;
    }

    @Override
    public void onClaimStored(Claim stored, long version, long sentNanos) {
        startLeading(stored.record(), version, sentNanos, stored.reason());
    }

    @Override
    public void onClaimUnanswered(Claim unanswered) {
        reportFailedClaim(unanswered, "no answer in time");
        readRecord(true);
    }

    @Override
    public void onClaimFailed(Claim failed, RecordStore.TransactionResult result) {
        if (failed.replaces(0)
                && result instanceof RecordStore.TransactionResult.Conflict conflict
                && LeaderRecordStore.leaderEntry(conflict).isEmpty()) {
            claim = null;
            log.skippedRecord(LeaderRecord.KEY, "it was removed although a leader has stored transactions");
            records.replaceRemoved(() -> loop.schedule(RETRY_DELAY, this::readRecord));
            return;
        }
        // An earlier attempt may have taken effect, so read the record to learn the outcome.
        reportFailedClaim(failed, result.toString());
        loop.schedule(RETRY_DELAY, this::readRecord);
    }

    private void reportFailedClaim(Claim failed, String cause) {
        // The leader may answer again meanwhile, and is not replaced then.
        monitor.pingAgainIfSuspected();
        LeaderRecord record = failed.record();
        log.leadership("takeover-failed", record.epoch(), record.node(), cause);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.TAKEOVER_FAILED);
    }

    private void startLeading(LeaderRecord record, long version, long sentNanos, String reason) {
        claim = null;
        if (record.epoch() < minEpoch) {
            readRecord();
            return;
        }
        readGeneration++;
        monitor.stop();
        resigning = false;
        log.leaderStarted(record, reason);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.STARTED);
        leader = new Leader(services, storeContact, peers, record, version, why -> onLeaderEnded(record, why));
        capacityPolicy.onStartedToLead();
        leader.start(sentNanos);
    }

    private void onLeaderEnded(LeaderRecord record, String reason) {
        log.leadership("leader-ended", record.epoch(), record.node(), reason);
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.ENDED);
        if (leader.followerCount() == 0) {
            monitor.onLedWithoutFollowers();
        }
        leader = null;
        reportHandedOver();
        loop.execute(this::readRecord);
    }
}
