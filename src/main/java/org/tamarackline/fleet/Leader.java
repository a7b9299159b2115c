package org.tamarackline.fleet;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.FleetLoad;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.LongRunningWait;
import org.tamarackline.core.fleet.LongRunningWaits;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerCommand;
import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * Schedules all jobs of the fleet on its runners, from a takeover of the leadership until it is replaced or ends.
 *
 * <p>A new leader reads the store, then polls every runner that earlier leaders may have used and adopts their runs. A
 * task that an earlier leader may have started on a runner that has not reported yet is held until that runner reports
 * or its lease has expired.
 */
final class Leader
        implements RunnerSession.Callbacks, Committer.Callbacks, JobFeed.Callbacks, LeaseLimitStore.Callbacks {

    private final EventLoop loop;
    private final RecordStore store;
    private final StoreContact storeContact;
    private final InstantSource timeOfDay;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final Consumer<String> onEnded;
    private final LeaderRecord record;
    private final long leaderVersion;
    private final long takeoverNanos;

    private final TableReader tables;
    private final LeadershipLease leadershipLease;
    private final Fleet fleet;
    private final LeaderContext context;
    private final RunnerSessions sessions;
    private final DirectoryFollower directory;
    private final JobFeed jobFeed;
    private final StoredProgress progress = new StoredProgress();
    private final LoopDelay loopDelay = new LoopDelay();
    private final EarlierLeaders earlierLeaders;
    private final Followers followers;
    private final LeaseLimit leaseLimit;
    private final LeaseLimitStore leaseLimitStore;
    private long endedBelowEpoch;
    private Committer committer;

    private boolean ended;
    private boolean resigned;
    private boolean rosterRead;
    private boolean loaded;
    private boolean schedulingRoundPlanned;
    private long lastSchedulingRoundNanos;
    private long tickDueNanos;
    private int unansweredStarts;
    private int samplesSinceLog;
    private long sequenceVersion;
    private long storeRespondedNanos;

    /**
     * Creates a leader whose record is stored.
     *
     * @param storeContact contact of the node to the store
     * @param leaderVersion version of the leader record
     * @param onEnded receives the reason when the leader ends other than by {@link #end}
     */
    Leader(
            NodeServices services,
            StoreContact storeContact,
            PeerCalls peers,
            LeaderRecord record,
            long leaderVersion,
            Consumer<String> onEnded) {
        this.loop = services.loop();
        this.storeContact = storeContact;
        this.store = services.store();
        this.timeOfDay = services.timeOfDay();
        this.log = services.log();
        this.metrics = services.metrics();
        this.record = record;
        this.leaderVersion = leaderVersion;
        this.onEnded = onEnded;
        this.takeoverNanos = loop.nowNanos();
        this.storeRespondedNanos = takeoverNanos;
        // The steady clock does not advance while the machine is suspended, so bounds from readings taken before a
        // suspension are too early.
        store.clock().discardReadingsBefore(takeoverNanos);
        this.leadershipLease =
                new LeadershipLease(loop, timeOfDay, () -> store.clock().discardReadingsBefore(loop.nowNanos()));
        this.tables = new TableReader(services, () -> ended, this::onStoreResponse);
        this.earlierLeaders = new EarlierLeaders(loop, peers, record, () -> ended, this::onEarlierLeadersEnded);
        this.fleet = new Fleet(record.epoch(), new CountingObserver(metrics, log), loop);
        this.followers = new Followers(loop);
        this.leaseLimit = new LeaseLimit(loop, store.clock());
        this.leaseLimitStore = new LeaseLimitStore(services, leaseLimit, record, this);
        this.context = new LeaderContext(loop, services.runnerCalls(), fleet, log, metrics, leaseLimit);
        this.sessions = new RunnerSessions(context, this, record.epoch(), earlierLeaders, store.clock());
        this.directory = new DirectoryFollower(
                services, new Random(record.epoch()), () -> ended || resigned, this::applyDirectory);
        this.jobFeed = new JobFeed(services, tables, fleet.jobs(), leaderVersion, this);
    }

    LeaderRecord record() {
        return record;
    }

    long leaderVersion() {
        return leaderVersion;
    }

    /** Returns the time since the store's last response, in milliseconds. */
    long storeAgeMs() {
        return (loop.nowNanos() - storeRespondedNanos) / 1_000_000;
    }

    /** Returns the state of a job; empty if this leader does not know the job or has not loaded it yet. */
    Optional<JobState> state(String job) {
        return loaded ? fleet.jobs().state(job) : Optional.empty();
    }

    /** Returns the number of queued jobs of a queue; empty until the jobs are loaded. */
    Optional<Integer> queuedJobCount(String queue) {
        return loaded ? Optional.of(fleet.jobs().queuedJobCount(queue)) : Optional.empty();
    }

    Fleet fleet() {
        return fleet;
    }

    /** Returns the nodes that follow this leader. */
    Followers followers() {
        return followers;
    }

    @Override
    public int followerCount() {
        return followers.count();
    }

    boolean loaded() {
        return loaded;
    }

    /** Stores a job that a node passed on. */
    void submit(String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        if (!loaded || ended || resigned) {
            callback.accept(new JobRequestHandler.Outcome.Unavailable("the leader stores nothing now"));
        } else if (fleet.jobs().state(job).isPresent()) {
            callback.accept(new JobRequestHandler.Outcome.Accepted("stored before"));
        } else {
            committer.submit(job, value, callback);
        }
    }

    /** Starts to load the state from the store. */
    void start(long confirmedNanos) {
        leadershipLease.confirm(confirmedNanos);
        sampleState();
        earlierLeaders.start();
        leaseLimitStore.start();
        tables.readAll(RecordStore.Table.ROSTER, this::readRosterEntry, version -> {
            rosterRead = true;
            sessions.startInitialRenewals();
            readDirectory();
        });
    }

    private void onStoreResponse() {
        storeRespondedNanos = loop.nowNanos();
    }

    private void onEarlierLeadersEnded(String reason) {
        log.leadership("earlier-leaders-ended", record.epoch(), record.node(), reason);
        endedBelowEpoch = record.epoch();
        sessions.onEarlierLeadersEnded();
        if (loaded) {
            committer.storeSequence();
        }
    }

    /** Returns whether all earlier leaders are known to have ended. */
    boolean earlierLeadersEnded() {
        return earlierLeaders.ended();
    }

    @Override
    public boolean leaseLimitMayBeRaised() {
        return rosterRead && sessions.leaseLimitMayBeRaised();
    }

    @Override
    public void onLeaseLimitKnown() {
        log.leaseLimitKnown(record, leaseLimit.remainingMs());
        sessions.onLeaseLimitKnown();
    }

    @Override
    public void onLeaseLimitFenced() {
        endWithReason("a leader of a higher epoch has replaced the lease limit");
    }

    @Override
    public long endedBelowEpoch() {
        return endedBelowEpoch;
    }

    /** Ends this leader at the request of a successor. */
    void stepDown() {
        endWithReason("a successor requested it to step down");
    }

    /** Ends this leader after its resignation, because no node has succeeded it. */
    void endUnsucceeded() {
        endWithReason("no node took over after its resignation");
    }

    /** Returns the number of runners that this leader polls. */
    int runnerCount() {
        return sessions.all().size();
    }

    /** Ends this leader; it sends no further commands. */
    void end() {
        if (!ended) {
            metrics.leaderSampled(LeaderSample.NOT_LEADING);
        }
        ended = true;
        sessions.closeAll();
        if (committer != null) {
            committer.endSubmissions();
        }
    }

    /**
     * Records that the store has this leader's resignation. From now on the leader only renews runner leases, so that
     * tasks keep running until a successor renews them; it still answers requests.
     */
    void onResignationStored() {
        resigned = true;
    }

    /** Returns whether this leader's resignation is known to be stored. */
    boolean resigned() {
        return resigned;
    }

    // ---- Loading the state

    private void readRosterEntry(RecordStore.Entry entry) {
        RosterRecord roster;
        try {
            roster = RecordCodec.decodeRoster(entry.key(), entry.value());
        } catch (CorruptRecordException corrupt) {
            log.skippedRecord(entry.key(), corrupt.getMessage());
            roster = RosterRecord.unreadable(entry.key());
        }
        sessions.restoreFromRoster(roster, takeoverNanos);
    }

    private void readDirectory() {
        directory.readOnce(() -> {
            // Followed from now on, because the first starts come after the jobs have been read.
            directory.start();
            tables.readAll(
                    RecordStore.Table.PROGRESS,
                    this::readProgressEntry,
                    version -> jobFeed.readAll(progress, this::finishLoading));
        });
    }

    private void applyDirectory(List<RunnerDescriptor> descriptors) {
        onStoreResponse();
        sessions.applyDirectory(descriptors, directory.ageMs());
        if (loaded) {
            sessions.addRegisteredToRoster(committer);
        }
    }

    private void readProgressEntry(RecordStore.Entry entry) throws CorruptRecordException {
        if (entry.key().equals(CommitSequence.KEY)) {
            sequenceVersion = entry.version();
            applySequence(RecordCodec.decodeSequence(entry.value()));
            return;
        }
        if (entry.key().equals(RecordCodec.INTERFERENCE_ESTIMATES_KEY)) {
            fleet.restoreInterferenceEstimates(RecordCodec.decodeInterferenceEstimates(entry.value()));
            return;
        }
        if (entry.key().startsWith(RecordCodec.HELD_END_PREFIX)) {
            fleet.jobs().held().restoreEnd(RecordCodec.decodeHeldEnd(entry.key(), entry.value()));
            return;
        }
        progress.read(entry);
    }

    private void applySequence(CommitSequence sequence) {
        endedBelowEpoch = Math.max(endedBelowEpoch, sequence.endedBelowEpoch());
        earlierLeaders.onEndedBelow(sequence.endedBelowEpoch());
    }

    private void finishLoading() {
        if (ended) {
            return;
        }
        committer = new Committer(context, store, timeOfDay, this, record.epoch(), leaderVersion, sequenceVersion);
        committer.addStoredProgress(progress.records());
        progress.clear();
        loaded = true;
        committer.removeProgressOfOthers(jobFeed::mayBeOpen);
        if (earlierLeaders.ended()) {
            committer.storeSequence();
        }
        log.leadership("leader-ready", record.epoch(), record.node(), loadSummary());
        metrics.leadershipChanged(FleetMetrics.LeadershipEvent.READY);
        sessions.startPolling();
        sessions.addRegisteredToRoster(committer);
        jobFeed.follow();
        new HeldJobLoader(loop, store, context, jobFeed, committer, timeOfDay, this::leading).start();
        tickDueNanos = loop.nowNanos();
        tick();
    }

    /** Measures the state for metrics and log; one measurement serves both, because it scans all ready tasks and runs. */
    private void sampleState() {
        if (ended) {
            return;
        }
        // Scheduled first, so that a sample that fails is not the last one.
        loop.schedule(FleetConstants.STATE_SAMPLE_INTERVAL, this::sampleState);
        FleetLoad load = fleet.load();
        int silentRunners = sessions.silentCount();
        metrics.leaderSampled(new LeaderSample(
                loop.nowNanos(),
                record.epoch(),
                loaded && !resigned && maySendCommands(),
                load,
                silentRunners,
                unansweredStarts,
                leadershipLease.ageNanos(),
                leaseLimit.remainingMs().orElse(0),
                storeContact.unansweredWrites().forMs()));
        if (loaded && ++samplesSinceLog >= FleetConstants.STATE_SAMPLES_PER_LOG) {
            samplesSinceLog = 0;
            logState(load, silentRunners);
        }
    }

    private void logState(FleetLoad load, int silentRunners) {
        LongRunningWaits.Found waits = fleet.longRunningWaits()
                .find(
                        FleetConstants.LONG_RUNNING_WAIT_TO_LOG.toNanos(),
                        FleetConstants.MAX_LOGGED_LONG_RUNNING_WAITS,
                        loop.nowNanos());
        log.leaderState(new LeaderState(
                record.epoch(),
                (loop.nowNanos() - takeoverNanos) / 1_000_000,
                load.openJobs(),
                fleet.jobs().held().count(),
                load.readyTasks(),
                load.heldTasks(),
                load.unreportedRunners(),
                silentRunners,
                unansweredStarts,
                loopDelay.getAndResetMaxMs(),
                storeAgeMs(),
                directory.ageMs(),
                leaseLimit.remainingMs(),
                leaseLimitStore.ageMs(),
                storeContact.unansweredWrites().forMs(),
                waits.count()));
        for (LongRunningWait wait : waits.longest()) {
            ChangeKey change = ChangeKey.job(wait.task().job());
            log.longRunningTaskWaits(wait, committer.isolatedForMs(change));
        }
    }

    private String loadSummary() {
        return "openJobs=%d runners=%d tookMs=%d"
                .formatted(
                        fleet.jobs().openJobCount(),
                        sessions.all().size(),
                        (loop.nowNanos() - takeoverNanos) / 1_000_000);
    }

    // ---- Scheduling

    private void tick() {
        if (ended || resigned) {
            return;
        }
        loopDelay.record(tickDueNanos, loop.nowNanos());
        try {
            sessions.removeLost(leadershipLease, committer);
            jobFeed.expireFinishedJobs(committer::removeFinishedJob);
            runSchedulingRound();
        } finally {
            // A tick that fails must not be the last.
            tickDueNanos = loop.nowNanos() + FleetConstants.TICK_INTERVAL.toNanos();
            loop.schedule(FleetConstants.TICK_INTERVAL, this::tick);
        }
    }

    private void runSchedulingRound() {
        schedulingRoundPlanned = false;
        if (ended || resigned || !loaded) {
            return;
        }
        lastSchedulingRoundNanos = loop.nowNanos();
        if (maySendCommands()) {
            int maxStarts = leaseLimit.permitsLeases() ? FleetConstants.MAX_UNANSWERED_STARTS - unansweredStarts : 0;
            for (RunnerCommand command : fleet.schedule(loop.nowNanos(), timeOfDay.millis(), maxStarts)) {
                send(command);
            }
        }
        // After a delay of the event loop answers wait to be processed, which then seem overdue.
        if (loop.nowNanos() - tickDueNanos <= FleetConstants.MAX_LOOP_DELAY_FOR_CORDONS.toNanos()) {
            sessions.cordons().requestDueWrites(committer);
        }
        committer.scheduleFlushIfDirty();
    }

    private void send(RunnerCommand command) {
        RunnerSession session = sessions.find(command.runner().id());
        if (session != null) {
            session.send(command);
        }
    }

    // ---- Callbacks of sessions, committer and job feed

    @Override
    public boolean maySendCommands() {
        return !ended && leadershipLease.held();
    }

    /** Returns whether the stored lease limit is late enough for leases of runners to be granted. */
    boolean leaseLimitPermitsLeases() {
        return leaseLimit.permitsLeases();
    }

    @Override
    public void onStartSent() {
        unansweredStarts++;
    }

    @Override
    public void onStartCompleted() {
        unansweredStarts--;
    }

    @Override
    public void onFenced(String runner) {
        endWithReason("runner " + runner + " has accepted commands of a higher epoch");
    }

    @Override
    public void requestDirectoryRead() {
        directory.readSoon();
    }

    @Override
    public void requestSchedulingRound() {
        if (!schedulingRoundPlanned && loaded) {
            schedulingRoundPlanned = true;
            long sinceLastNanos = loop.nowNanos() - lastSchedulingRoundNanos;
            loop.schedule(
                    FleetConstants.MIN_SCHEDULING_INTERVAL.minusNanos(Math.max(0, sinceLastNanos)),
                    this::runSchedulingRound);
        }
    }

    @Override
    public void retryChanges() {
        committer.retryChanges();
    }

    @Override
    public boolean ended() {
        return ended;
    }

    @Override
    public boolean leading() {
        return !ended && !resigned;
    }

    @Override
    public void onLeaderRecordChanged(RecordStore.Entry entry) {
        if (isRecordOfThisLeader(entry)) {
            onResignationStored();
        } else {
            endWithReason("the store has the record of another leader");
        }
    }

    private boolean isRecordOfThisLeader(RecordStore.Entry entry) {
        try {
            return !entry.removed() && RecordCodec.decodeLeader(entry.value()).epoch() == record.epoch();
        } catch (CorruptRecordException corrupt) {
            log.skippedRecord(entry.key(), corrupt.getMessage());
            return false;
        }
    }

    private void endWithReason(String reason) {
        if (!ended) {
            end();
            onEnded.accept(reason);
        }
    }

    @Override
    public void onLeadershipConfirmed(long sentNanos) {
        onStoreResponse();
        leadershipLease.confirm(sentNanos);
        sessions.onLeadershipConfirmed();
        // Not at once, because the transaction that confirmed the leader is still being processed.
        loop.execute(this::removeLostRunners);
    }

    private void removeLostRunners() {
        if (leading() && loaded) {
            sessions.removeLost(leadershipLease, committer);
        }
    }

    @Override
    public boolean confirmedSince(long nanos) {
        return leadershipLease.confirmedSince(nanos);
    }

    @Override
    public void requestConfirmation() {
        committer.requestConfirmation();
    }

    @Override
    public Iterable<RunnerSession> sessions() {
        return sessions.all();
    }

    @Override
    public void onStartsExpected(List<Run> runs) {
        if (!maySendCommands()) {
            return;
        }
        for (Run run : runs) {
            RunnerSession session = sessions.find(run.runner().id());
            if (session != null) {
                session.prepareStart();
            }
        }
    }

    @Override
    public RunnerCordons cordons() {
        return sessions.cordons();
    }

    @Override
    public void onAddedToRoster(RunnerDescriptor runner) {
        sessions.onAddedToRoster(runner.id());
    }
}
