package org.tamarackline.fleet;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.tamarackline.core.fleet.HeldJobs;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobProgress;

/** Reads the records of held jobs again at intervals, and loads a job once all of them can be read. */
final class HeldJobLoader {

    /** Maximum number of jobs that are read in one interval. */
    private static final int MAX_READ_JOBS = 20;

    private final EventLoop loop;
    private final RecordStore store;
    private final LeaderContext context;
    private final JobFeed jobFeed;
    private final Committer committer;
    private final InstantSource timeOfDay;
    private final BooleanSupplier leading;
    private final Deque<String> toRead = new ArrayDeque<>();

    HeldJobLoader(
            EventLoop loop,
            RecordStore store,
            LeaderContext context,
            JobFeed jobFeed,
            Committer committer,
            InstantSource timeOfDay,
            BooleanSupplier leading) {
        this.loop = loop;
        this.store = store;
        this.context = context;
        this.jobFeed = jobFeed;
        this.committer = committer;
        this.timeOfDay = timeOfDay;
        this.leading = leading;
    }

    void start() {
        loop.schedule(FleetConstants.HELD_JOBS_READ_INTERVAL, this::readSome);
    }

    private void readSome() {
        if (!leading.getAsBoolean()) {
            return;
        }
        loop.schedule(FleetConstants.HELD_JOBS_READ_INTERVAL, this::readSome);
        if (toRead.isEmpty()) {
            toRead.addAll(context.fleet().jobs().held().ids());
        }
        for (int i = 0; i < MAX_READ_JOBS && !toRead.isEmpty(); i++) {
            readJob(toRead.removeFirst());
        }
    }

    private void readJob(String id) {
        store.read(RecordStore.Table.JOBS, id, id + "\u0000", result -> {
            if (!leading.getAsBoolean() || !(result instanceof RecordStore.ReadResult.Page page)) {
                return;
            }
            for (RecordStore.Entry entry : page.entries()) {
                readOpenJob(entry).ifPresent(job -> readProgress(job, job.id(), new StoredProgress()));
            }
        });
    }

    private static Optional<JobDefinition> readOpenJob(RecordStore.Entry entry) {
        try {
            return RecordCodec.decodeJob(entry.key(), entry.value()) instanceof StoredJob.Open open
                    ? Optional.of(open.definition())
                    : Optional.empty();
        } catch (CorruptRecordException stillCorrupt) {
            // It was logged when the job was held.
            return Optional.empty();
        }
    }

    /** Reads the records of a job's progress page by page; nothing happens if the store does not answer. */
    private void readProgress(JobDefinition job, String from, StoredProgress progress) {
        store.read(RecordStore.Table.PROGRESS, from, ProgressCodec.Key.end(job.id()), result -> {
            if (!leading.getAsBoolean() || !(result instanceof RecordStore.ReadResult.Page page)) {
                return;
            }
            for (RecordStore.Entry entry : page.entries()) {
                addRecord(job.id(), entry, progress);
            }
            if (page.truncated() && !page.entries().isEmpty()) {
                readProgress(job, page.entries().getLast().key() + "\u0000", progress);
            } else {
                onProgressRead(job, progress);
            }
        });
    }

    /** Adds a record, unless it is that of another job, whose identifier begins with that of this one. */
    private static void addRecord(String job, RecordStore.Entry entry, StoredProgress progress) {
        try {
            if (ProgressCodec.Key.parse(entry.key()).job().equals(job)) {
                progress.read(entry);
            }
        } catch (CorruptRecordException stillCorrupt) {
            // It was logged when the job was held.
        }
    }

    private void onProgressRead(JobDefinition job, StoredProgress progress) {
        boolean missing = !progress.records().contains(job.id()) && committer.hasStoredProgress(job.id());
        if (progress.unreadable(job.id()) || missing) {
            return;
        }
        try {
            JobProgress stored = progress.of(job);
            committer.addStoredProgress(progress.records());
            load(job, stored);
        } catch (CorruptRecordException stillCorrupt) {
            // It was logged when the job was held.
        }
    }

    /**
     * Loads a job if this leader still leads after the reads, so that no successor has started the job's tasks before,
     * and if all runs of the job are known.
     */
    private void load(JobDefinition job, JobProgress progress) {
        jobFeed.runIfStillLeading(() -> {
            HeldJobs held = context.fleet().jobs().held();
            boolean loadable = held.contains(job.id()) && !held.cancellations().contains(job.id());
            if (loadable && context.fleet().unreportedRunners() == 0) {
                context.log().heldJobReleased(job.id(), "its records can be read");
                context.fleet().loadHeldJob(job, progress, loop.nowNanos(), timeOfDay.millis());
            }
        });
    }
}
