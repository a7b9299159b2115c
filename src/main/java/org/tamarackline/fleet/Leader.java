package org.tamarackline.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.Order;
import org.tamarackline.core.fleet.RunnerReport;

/**
 * The node that decides, from its takeover to its end.
 *
 * <p>It first reads what the store has, then asks every runner that earlier leaders may have used, and takes over what
 * runs. Jobs that were accepted before its takeover wait until each of these runners has answered or outlived its lease.
 */
final class Leader implements RunnerSession.Host, Committer.Host {

    private final EventLoop loop;
    private final RecordStore store;
    private final RunnerDirectory directory;
    private final InstantSource timeOfDay;
    private final DecisionLog log;
    private final Consumer<String> onDeposed;
    private final LeaderRecord record;
    private final long leaderVersion;
    private final long takeoverNanos;

    private final TableReader tables;
    private final Authority authority;
    private final Fleet fleet;
    private final LeaderContext context;
    private final Map<String, RunnerSession> sessions = new LinkedHashMap<>();
    private final Map<String, JobProgress> progress = new HashMap<>();
    private final RunnerClosures closures;
    private final Deque<FinishedJob> finishedJobs = new ArrayDeque<>();
    private final LoopDelay loopDelay = new LoopDelay();
    private final EarlierLeaders earlierLeaders;
    private long endedBelowEpoch;
    private Committer committer;

    private boolean ended;
    private boolean resigned;
    private boolean loaded;
    private boolean pumpPlanned;
    private long pumpedNanos;
    private long tickPlannedNanos;
    private int unansweredStarts;
    private long jobsVersion = -1;
    private long sequenceVersion;
    /** Runners that the directory lists and the roster does not have yet. */
    private final Set<String> notEnlisted = new HashSet<>();

    private long storeAnsweredNanos;

    private record FinishedJob(String id, long endedEpochMs) {}

    /**
     * Creates a leader whose record is stored.
     *
     * @param leaderVersion version of the record
     * @param onDeposed is told why the leader has ended, unless it was asked to
     */
    Leader(
            NodeServices services,
            PeerCalls peers,
            LeaderRecord record,
            long leaderVersion,
            Consumer<String> onDeposed) {
        this.loop = services.loop();
        this.store = services.store();
        this.directory = services.directory();
        this.timeOfDay = services.timeOfDay();
        this.log = services.log();
        this.record = record;
        this.leaderVersion = leaderVersion;
        this.onDeposed = onDeposed;
        this.takeoverNanos = loop.nowNanos();
        this.storeAnsweredNanos = takeoverNanos;
        // The steady clock does not count a suspension, so readings from before one are too early.
        store.clock().forget(takeoverNanos);
        this.authority = new Authority(loop, timeOfDay, () -> store.clock().forget(loop.nowNanos()));
        this.tables = new TableReader(loop, store, log, () -> ended, this::noteStoreAnswer);
        this.earlierLeaders = new EarlierLeaders(loop, peers, record, () -> ended, this::noteEarlierLeadersEnded);
        this.fleet = new Fleet(record.epoch(), log);
        this.closures = new RunnerClosures(loop, store.clock(), fleet, sessions);
        this.context = new LeaderContext(loop, services.runnerCalls(), fleet, log);
    }

    LeaderRecord record() {
        return record;
    }

    long leaderVersion() {
        return leaderVersion;
    }

    /** Returns the time since the store last answered, in milliseconds. */
    long storeAgeMs() {
        return (loop.nowNanos() - storeAnsweredNanos) / 1_000_000;
    }

    /** Returns the state of a job; empty if this leader does not know it, or not yet. */
    Optional<JobState> state(String job) {
        return loaded ? fleet.jobs().state(job) : Optional.empty();
    }

    /** Returns the number of jobs of a queue that wait; empty while the jobs are not read. */
    Optional<Integer> pending(String queue) {
        return loaded ? Optional.of(fleet.jobs().pending(queue)) : Optional.empty();
    }

    Fleet fleet() {
        return fleet;
    }

    boolean loaded() {
        return loaded;
    }

    /** Starts to read the store. */
    void start(long confirmedNanos) {
        authority.confirm(confirmedNanos);
        earlierLeaders.start();
        tables.readAll(RecordStore.Table.ROSTER, this::expectRunner, version -> readDirectory());
    }

    private void noteStoreAnswer() {
        storeAnsweredNanos = loop.nowNanos();
    }

    private void noteEarlierLeadersEnded(String reason) {
        log.leadership("earlier-leaders-ended", record.epoch(), record.node(), reason);
        endedBelowEpoch = record.epoch();
        sessions.values().forEach(session -> session.earlierLeadersEnded(earlierLeaders.endedNanos()));
        if (loaded) {
            committer.storeSequence();
        }
    }

    /** Returns whether all leaders before this one are known to have ended. */
    boolean earlierLeadersEnded() {
        return earlierLeaders.ended();
    }

    @Override
    public long endedBelowEpoch() {
        return endedBelowEpoch;
    }

    /** Ends this leader because a successor asked it to. */
    void stepDown() {
        superseded("a successor asked it to step down");
    }

    /** Ends all orders of this leader. */
    void end() {
        ended = true;
        sessions.values().forEach(RunnerSession::close);
    }

    /**
     * Takes note that the store has this leader's resignation. From now on it only renews leases, so that tasks run on until
     * a successor renews them; questions are still answered.
     */
    void noteResigned() {
        resigned = true;
    }

    /** Returns whether the store is known to have this leader's resignation. */
    boolean resigned() {
        return resigned;
    }

    // ---- Reading the store

    private void expectRunner(RecordStore.Entry entry) throws CorruptRecordException {
        RosterRecord roster = RecordCodec.readRoster(entry.key(), entry.value());
        RunnerReport report = roster.runner();
        FleetRunner runner = fleet.expectAnswer(report);
        long wait = FleetLimits.AUTHORITY.toNanos() + RunnerSession.longestLeaseNanos();
        long endNanos = closures.inheritedEndNanos(roster, takeoverNanos + wait);
        RunnerSession session = new RunnerSession(context, this, record.epoch(), runner, endNanos);
        if (earlierLeaders.ended()) {
            session.earlierLeadersEnded(earlierLeaders.endedNanos());
        }
        sessions.put(report.id(), session);
        closures.inherit(session, roster);
    }

    private void readDirectory() {
        directory.list(reports -> {
            reports.ifPresent(this::noteDirectory);
            tables.readAll(RecordStore.Table.PROGRESS, this::readProgress, version -> readJobs());
        });
    }

    private void readProgress(RecordStore.Entry entry) throws CorruptRecordException {
        if (entry.key().equals(CommitSequence.KEY)) {
            sequenceVersion = entry.version();
            noteSequence(RecordCodec.readSequence(entry.value()));
            return;
        }
        if (entry.key().equals(RecordCodec.WEIGHTS_KEY)) {
            fleet.startFromWeights(RecordCodec.readWeights(entry.value()));
            return;
        }
        progress.put(entry.key(), RecordCodec.readProgress(entry.key(), entry.value()));
    }

    private void noteSequence(CommitSequence sequence) {
        endedBelowEpoch = Math.max(endedBelowEpoch, sequence.endedBelowEpoch());
        earlierLeaders.endedBelow(sequence.endedBelowEpoch());
    }

    private void readJobs() {
        Set<String> cancelled = new HashSet<>();
        tables.readAll(RecordStore.Table.JOBS, entry -> readJob(entry, true, cancelled), version -> {
            cancelled.forEach(fleet.jobs()::cancel);
            finishLoading(version);
        });
    }

    private void finishLoading(long version) {
        jobsVersion = version;
        committer = new Committer(context, store, timeOfDay, this, record.epoch(), leaderVersion, sequenceVersion);
        progress.keySet().forEach(committer::progressIsStored);
        progress.clear();
        loaded = true;
        if (earlierLeaders.ended()) {
            committer.storeSequence();
        }
        log.leadership("leader-ready", record.epoch(), record.node(), summary());
        for (RunnerSession session : sessions.values()) {
            if (!notEnlisted.contains(session.runner().id())) {
                session.planHold(Duration.ZERO);
            }
        }
        enlistListed();
        followJobs();
        loop.schedule(FleetLimits.DIRECTORY_INTERVAL, this::pollDirectory);
        loop.schedule(FleetLimits.STATE_LOG_INTERVAL, this::logState);
        tickPlannedNanos = loop.nowNanos();
        tick();
    }

    private void logState() {
        if (ended) {
            return;
        }
        int silentRunners =
                (int) sessions.values().stream().filter(RunnerSession::silent).count();
        log.leaderState(new LeaderState(
                record.epoch(),
                (loop.nowNanos() - takeoverNanos) / 1_000_000,
                fleet.jobs().openJobs(),
                fleet.jobs().waitingTasks(),
                fleet.heldTasks(),
                fleet.unheardRunners(),
                silentRunners,
                unansweredStarts,
                loopDelay.takeLongestMs(),
                storeAgeMs()));
        loop.schedule(FleetLimits.STATE_LOG_INTERVAL, this::logState);
    }

    private String summary() {
        return "openJobs=%d runners=%d tookMs=%d"
                .formatted(fleet.jobs().openJobs(), sessions.size(), (loop.nowNanos() - takeoverNanos) / 1_000_000);
    }

    private void readJob(RecordStore.Entry entry, boolean inherited, Set<String> cancelled)
            throws CorruptRecordException {
        if (entry.key().equals(LeaderRecord.KEY)) {
            if (entry.version() > leaderVersion) {
                leaderRecordChanged(entry);
            }
            return;
        }
        if (entry.key().endsWith(JobRecord.CANCEL_SUFFIX)) {
            if (!entry.removed()) {
                String id = entry.key().substring(0, entry.key().length() - JobRecord.CANCEL_SUFFIX.length());
                cancelled.add(id);
            }
            return;
        }
        if (entry.removed()) {
            return;
        }
        switch (RecordCodec.readJob(entry.key(), entry.value())) {
            case JobRecord.Open open -> {
                JobProgress known = progress.getOrDefault(entry.key(), JobProgress.NONE);
                fleet.jobs().add(open.definition(), known, inherited, timeOfDay.millis());
            }
            case JobRecord.Finished finished -> {
                if (fleet.jobs().state(finished.id()).filter(JobState::terminal).isEmpty()) {
                    fleet.jobs().addFinished(finished.id(), finished.state());
                }
                finishedJobs.add(new FinishedJob(finished.id(), finished.endedEpochMs()));
            }
        }
    }

    // ---- Following the store

    private void followJobs() {
        if (ended || resigned) {
            return;
        }
        long sentNanos = loop.nowNanos();
        store.follow(RecordStore.Table.JOBS, jobsVersion, FleetLimits.JOBS_FOLLOW_WAIT, result -> {
            if (ended || resigned) {
                return;
            }
            switch (result) {
                case RecordStore.ReadResult.Page page -> {
                    noteJobs(page.entries());
                    if (ended) {
                        return;
                    }
                    jobsVersion = page.version();
                    confirmed(sentNanos);
                    loop.schedule(FleetLimits.FOLLOW_PAUSE, this::followJobs);
                }
                case RecordStore.ReadResult.HistoryLost lost -> rereadJobs();
                case RecordStore.ReadResult.Failed failed -> {
                    log.storeState("jobs-feed-failing", failed.cause());
                    loop.schedule(FleetLimits.STORE_RETRY, this::followJobs);
                }
            }
        });
    }

    private void noteJobs(Collection<RecordStore.Entry> entries) {
        Set<String> cancelled = new HashSet<>();
        for (RecordStore.Entry entry : entries) {
            tables.readEntry(entry, each -> readJob(each, false, cancelled));
        }
        if (!ended) {
            cancelled.forEach(fleet.jobs()::cancel);
            changed();
        }
    }

    private void rereadJobs() {
        log.storeState("jobs-history-lost", "the table is read again");
        List<RecordStore.Entry> all = new ArrayList<>();
        tables.readAll(RecordStore.Table.JOBS, all::add, version -> {
            noteJobs(all);
            jobsVersion = version;
            followJobs();
        });
    }

    private void pollDirectory() {
        if (ended || resigned) {
            return;
        }
        directory.list(reports -> {
            if (ended || resigned) {
                return;
            }
            reports.ifPresent(list -> {
                noteStoreAnswer();
                noteDirectory(list);
                enlistListed();
            });
            loop.schedule(FleetLimits.DIRECTORY_INTERVAL, this::pollDirectory);
        });
    }

    private void noteDirectory(List<RunnerReport> reports) {
        Set<String> listed = new HashSet<>();
        for (RunnerReport report : reports) {
            listed.add(report.id());
            FleetRunner runner = fleet.runnerReported(report);
            RunnerSession session = sessions.get(report.id());
            if (session == null || session.runner() != runner) {
                sessions.put(report.id(), new RunnerSession(context, this, record.epoch(), runner, loop.nowNanos()));
                notEnlisted.add(report.id());
            }
        }
        for (FleetRunner runner : fleet.runners()) {
            if (runner.listed() && !listed.contains(runner.id())) {
                log.runnerLost(runner.id(), "the directory no longer lists it");
                fleet.runnerUnlisted(runner.id());
            }
        }
        changed();
    }

    private void enlistListed() {
        for (String id : notEnlisted) {
            RunnerSession session = sessions.get(id);
            if (session != null) {
                committer.enlist(session.runner().report());
            }
        }
        notEnlisted.clear();
    }

    // ---- Orders

    private void tick() {
        if (ended || resigned) {
            return;
        }
        loopDelay.ran(tickPlannedNanos, loop.nowNanos());
        dropSilentRunners();
        forgetOldJobs();
        pump();
        tickPlannedNanos = loop.nowNanos() + FleetLimits.TICK.toNanos();
        loop.schedule(FleetLimits.TICK, this::tick);
    }

    private void dropSilentRunners() {
        for (RunnerSession session : List.copyOf(sessions.values())) {
            FleetRunner runner = session.runner();
            if (session.silent() && !session.lost() && session.leaseExpired() && confirmedSinceLease(session)) {
                log.runnerLost(runner.id(), "it is silent and its lease has expired");
                fleet.runnerLost(runner.id());
                session.markLost();
            }
            boolean gone = !runner.listed() && !runner.busy() && (session.lost() || session.idle());
            if (gone && session.leaseExpired()) {
                session.close();
                sessions.remove(runner.id());
                fleet.runnerLost(runner.id());
                committer.dismiss(runner.id());
            }
        }
    }

    /** Returns whether no successor can have renewed the leases of a runner before they ended. */
    private boolean confirmedSinceLease(RunnerSession session) {
        boolean confirmed = authority.confirmedAfter(session.leaseEndNanos());
        if (!confirmed) {
            committer.requestConfirmation();
        }
        return confirmed;
    }

    private void forgetOldJobs() {
        long keptSinceMs = timeOfDay.millis() - FleetLimits.FINISHED_JOB_KEPT.toMillis();
        while (!finishedJobs.isEmpty() && finishedJobs.getFirst().endedEpochMs() < keptSinceMs) {
            committer.forget(finishedJobs.removeFirst().id());
        }
    }

    private void pump() {
        pumpPlanned = false;
        if (ended || resigned || !loaded) {
            return;
        }
        pumpedNanos = loop.nowNanos();
        if (mayOrder()) {
            int maxStarts = FleetLimits.MAX_UNANSWERED_STARTS - unansweredStarts;
            for (Order order : fleet.decide(loop.nowNanos(), timeOfDay.millis(), maxStarts)) {
                carryOut(order);
            }
        }
        closures.review(committer);
        committer.changed();
    }

    private void carryOut(Order order) {
        RunnerSession session = sessions.get(order.runner().id());
        if (session != null) {
            session.carryOut(order);
        }
    }

    // ---- What sessions and committer ask for

    @Override
    public boolean mayOrder() {
        return !ended && authority.held();
    }

    @Override
    public void startSent() {
        unansweredStarts++;
    }

    @Override
    public void startAnswered() {
        unansweredStarts--;
    }

    @Override
    public void fenced(String runner) {
        superseded("runner " + runner + " has orders of a higher epoch");
    }

    @Override
    public void changed() {
        if (!pumpPlanned && loaded) {
            pumpPlanned = true;
            long sinceLastNanos = loop.nowNanos() - pumpedNanos;
            loop.schedule(FleetLimits.MIN_DECISION_INTERVAL.minusNanos(Math.max(0, sinceLastNanos)), this::pump);
        }
    }

    @Override
    public boolean leading() {
        return !ended && !resigned;
    }

    @Override
    public void leaderRecordChanged(RecordStore.Entry entry) {
        if (ownRecord(entry)) {
            noteResigned();
        } else {
            superseded("the store has the record of another leader");
        }
    }

    private boolean ownRecord(RecordStore.Entry entry) {
        try {
            return !entry.removed() && RecordCodec.readLeader(entry.value()).epoch() == record.epoch();
        } catch (CorruptRecordException corrupt) {
            log.skippedRecord(entry.key(), corrupt.getMessage());
            return false;
        }
    }

    private void superseded(String reason) {
        if (!ended) {
            end();
            onDeposed.accept(reason);
        }
    }

    @Override
    public void confirmed(long sentNanos) {
        noteStoreAnswer();
        authority.confirm(sentNanos);
    }

    @Override
    public Iterable<RunnerSession> sessions() {
        return sessions.values();
    }

    @Override
    public RunnerClosures closures() {
        return closures;
    }

    @Override
    public void enlisted(RunnerReport runner) {
        closures.opened(runner.id());
        RunnerSession session = sessions.get(runner.id());
        if (session != null) {
            session.planHold(Duration.ZERO);
        }
    }
}
