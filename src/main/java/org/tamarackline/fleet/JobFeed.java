package org.tamarackline.fleet;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.JobTracker;

/**
 * Feeds the job table to a leader: reads the whole table at the takeover and then follows its changes.
 *
 * <p>The tasks of a cancelled job must be gone three seconds after the cancellation, so a read without an answer is repeated
 * on a new connection.
 */
final class JobFeed {

    /** Callbacks of a feed to its leader. */
    interface Callbacks {

        /** Returns whether the table is still to be followed. */
        boolean leading();

        /** Returns whether the leader has ended. */
        boolean ended();

        /** The store has the record of a later leader, or this leader's resignation. */
        void onLeaderRecordChanged(RecordStore.Entry entry);

        /** The store confirmed the leader by a request sent at this time. */
        void onLeadershipConfirmed(long sentNanos);

        /** Requests a scheduling round, because something changed that may make commands due. */
        void requestSchedulingRound();
    }

    /** Time after which an answer of the store about changes is overdue, added to the time that the store may wait. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    private record FinishedJob(String id, long endedEpochMs) {}

    private final EventLoop loop;
    private final RecordStore store;
    private final TableReader tables;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final InstantSource timeOfDay;
    private final JobTracker jobs;
    private final long leaderVersion;
    private final Callbacks leader;
    private final LeaderRecordStore leaderRecords;
    private final HedgedRead<RecordStore.ReadResult> reads;
    private final Deque<FinishedJob> finishedJobs = new ArrayDeque<>();
    /** When each withdrawn job was last cancelled, in milliseconds since 1970. */
    private final Map<String, Long> withdrawnEpochMs = new HashMap<>();
    /** Keys of the job records that were read first and do not say that the job has ended. */
    private final Set<String> unfinishedJobs = new HashSet<>();

    private long version = -1;
    /** When the read was sent whose answer was the last one. */
    private long answeredReadSentNanos;

    /**
     * Creates a feed that has read nothing.
     *
     * @param leaderVersion version of the leader record, which is in the same table
     */
    JobFeed(NodeServices services, TableReader tables, JobTracker jobs, long leaderVersion, Callbacks leader) {
        this.loop = services.loop();
        this.store = services.store();
        this.log = services.log();
        this.metrics = services.metrics();
        this.timeOfDay = services.timeOfDay();
        this.tables = tables;
        this.jobs = jobs;
        this.leaderVersion = leaderVersion;
        this.leader = leader;
        this.leaderRecords = new LeaderRecordStore(services);
        this.answeredReadSentNanos = loop.nowNanos();
        // Does not grow, unlike the delay of the reads that all nodes repeat, because only one node leads.
        RetryBackoff backoff = new RetryBackoff(
                FleetConstants.STORE_RETRY_DELAY, FleetConstants.STORE_RETRY_DELAY, new Random(leaderVersion));
        this.reads = new HedgedRead<>(
                loop,
                backoff,
                result -> !(result instanceof RecordStore.ReadResult.Failed),
                new ReadListener(),
                () -> !leader.leading());
    }

    /** Reads all jobs; earlier leaders may have started any of them. */
    void readAll(StoredProgress progress, Runnable callback) {
        Set<String> cancelled = new HashSet<>();
        tables.readAll(RecordStore.Table.JOBS, entry -> applyEntry(entry, true, progress, cancelled), readVersion -> {
            jobs.removeUnneededEnds();
            cancelled.forEach(this::cancel);
            version = readVersion;
            callback.run();
        });
    }

    private void cancel(String job) {
        if (jobs.cancel(job)) {
            log.cancellationRead(job, (loop.nowNanos() - answeredReadSentNanos) / 1_000_000);
            leader.requestSchedulingRound();
        }
    }

    /** Returns whether a job may be open, or its record cannot be read, as of {@link #readAll}. */
    boolean mayBeOpen(String job) {
        return unfinishedJobs.contains(job);
    }

    /** Follows the changes from the version that was read. */
    void follow() {
        Duration wait = FleetConstants.JOBS_FOLLOW_WAIT;
        reads.start(
                callback -> store.follow(RecordStore.Table.JOBS, version, wait, callback),
                wait.plus(ANSWER_MARGIN),
                callback -> store.readChangesOnNewConnection(RecordStore.Table.JOBS, version, callback),
                this::onAnswer);
    }

    private void onAnswer(HedgedRead.Success<RecordStore.ReadResult> success) {
        metrics.readCompleted(FleetMetrics.ReadPurpose.JOB_CHANGES, FleetMetrics.ReadOutcome.of(success.result()));
        if (!leader.leading()) {
            return;
        }
        if (!(success.result() instanceof RecordStore.ReadResult.Page page)) {
            rereadTable();
        } else if (page.truncated()) {
            runIfStillLeading(() -> onChanges(page, success.sentNanos()));
        } else {
            onChanges(page, success.sentNanos());
        }
    }

    private void onChanges(RecordStore.ReadResult.Page page, long sentNanos) {
        applyChanges(page.entries());
        if (leader.ended()) {
            return;
        }
        version = page.version();
        answeredReadSentNanos = sentNanos;
        // The record of a successor may be among the changes that a truncated page lacks.
        if (!page.truncated()) {
            leader.onLeadershipConfirmed(sentNanos);
        }
        loop.schedule(FleetConstants.FOLLOW_INTERVAL, this::follow);
    }

    private final class ReadListener implements HedgedRead.Listener<RecordStore.ReadResult> {

        @Override
        public void onFailure(RecordStore.ReadResult result) {
            metrics.readCompleted(FleetMetrics.ReadPurpose.JOB_CHANGES, FleetMetrics.ReadOutcome.FAILED);
            log.storeState("jobs-feed-failing", result.toString());
        }

        @Override
        public void onRepetition(Duration waited) {
            log.readRepeated("jobs", waited.toMillis());
        }
    }

    private void rereadTable() {
        log.storeState("jobs-history-lost", "reading the whole table again");
        long sentNanos = loop.nowNanos();
        List<RecordStore.Entry> all = new ArrayList<>();
        tables.readAll(
                RecordStore.Table.JOBS,
                entry -> {
                    all.add(entry);
                    cancelIfCancellation(entry);
                },
                readVersion -> runIfStillLeading(() -> {
                    applyChanges(all);
                    version = readVersion;
                    answeredReadSentNanos = sentNanos;
                    follow();
                }));
    }

    /** Cancels a known job at once; the other records wait until all pages are read, which takes a second or two. */
    private void cancelIfCancellation(RecordStore.Entry entry) {
        cancelledJob(entry).ifPresent(this::cancel);
    }

    /** Returns the job that a record cancels; empty if it is no cancellation. */
    private static Optional<String> cancelledJob(RecordStore.Entry entry) {
        boolean cancels = entry.key().endsWith(StoredJob.CANCEL_SUFFIX) && !entry.removed();
        return cancels
                ? Optional.of(entry.key().substring(0, entry.key().length() - StoredJob.CANCEL_SUFFIX.length()))
                : Optional.empty();
    }

    /**
     * Runs an action unless the store has the record of a successor. Of several pages, one may contain a job that was
     * accepted after the successor's claim, and lack the claim.
     */
    void runIfStillLeading(Runnable next) {
        leaderRecords.read(result -> {
            if (!leader.leading()) {
                return;
            }
            if (!(result instanceof RecordStore.ReadResult.Page page)) {
                loop.schedule(FleetConstants.STORE_RETRY_DELAY, () -> runIfStillLeading(next));
                return;
            }
            applyChanges(page.entries());
            if (leader.leading()) {
                next.run();
            }
        });
    }

    private void applyChanges(Collection<RecordStore.Entry> entries) {
        Set<String> cancelled = new HashSet<>();
        for (RecordStore.Entry entry : entries) {
            tables.readEntry(entry, each -> applyEntry(each, false, StoredProgress.NONE, cancelled));
        }
        if (!leader.ended()) {
            cancelled.forEach(this::cancel);
            leader.requestSchedulingRound();
        }
    }

    private void applyEntry(RecordStore.Entry entry, boolean inherited, StoredProgress progress, Set<String> cancelled)
            throws CorruptRecordException {
        if (entry.key().equals(LeaderRecord.KEY)) {
            if (entry.version() > leaderVersion) {
                leader.onLeaderRecordChanged(entry);
            }
            return;
        }
        if (entry.key().endsWith(StoredJob.CANCEL_SUFFIX)) {
            cancelledJob(entry).ifPresent(cancelled::add);
            return;
        }
        if (entry.removed()) {
            jobs.dropHeld(entry.key());
            return;
        }
        if (inherited) {
            unfinishedJobs.add(entry.key());
        }
        switch (decodeOrHold(entry)) {
            case StoredJob.Open open -> addOpenJob(open.definition(), inherited, progress);
            case StoredJob.Finished finished -> {
                unfinishedJobs.remove(finished.id());
                if (jobs.state(finished.id()).filter(JobState::terminal).isEmpty()) {
                    jobs.addFinished(finished.id(), finished.state());
                }
                finishedJobs.add(new FinishedJob(finished.id(), finished.endedEpochMs()));
            }
            case StoredJob.Withdrawn withdrawn -> {
                unfinishedJobs.remove(withdrawn.id());
                withdrawnEpochMs.put(withdrawn.id(), withdrawn.withdrawnEpochMs());
                finishedJobs.add(new FinishedJob(withdrawn.id(), withdrawn.withdrawnEpochMs()));
            }
        }
    }

    /** Decodes a job; one that cannot be decoded is held, because an earlier leader may have started its tasks. */
    private StoredJob decodeOrHold(RecordStore.Entry entry) throws CorruptRecordException {
        try {
            return RecordCodec.decodeJob(entry.key(), entry.value());
        } catch (CorruptRecordException corrupt) {
            if (RecordCodec.isJobId(entry.key())) {
                jobs.hold(entry.key());
            }
            throw corrupt;
        }
    }

    /** Adds an open job; one that is held is loaded by {@link HeldJobLoader}. */
    private void addOpenJob(JobDefinition job, boolean inherited, StoredProgress progress)
            throws CorruptRecordException {
        if (progress.unreadable(job.id())) {
            jobs.hold(job);
        }
        if (jobs.held().contains(job.id())) {
            return;
        }
        try {
            JobProgress stored = progress.of(job);
            jobs.addWithStoredEnds(job, stored, inherited, timeOfDay.millis());
        } catch (CorruptRecordException corrupt) {
            jobs.hold(job);
            throw corrupt;
        }
    }

    /** Passes the finished and withdrawn jobs whose retention has ended to {@code remove}, once each. */
    void expireFinishedJobs(Consumer<String> remove) {
        long oldestKeptMs = timeOfDay.millis() - FleetConstants.FINISHED_JOB_RETENTION.toMillis();
        while (!finishedJobs.isEmpty() && finishedJobs.getFirst().endedEpochMs() < oldestKeptMs) {
            FinishedJob expired = finishedJobs.removeFirst();
            boolean renewed = withdrawnEpochMs.getOrDefault(expired.id(), 0L) > expired.endedEpochMs();
            if (!renewed) {
                withdrawnEpochMs.remove(expired.id());
                remove.accept(expired.id());
            }
        }
    }
}
