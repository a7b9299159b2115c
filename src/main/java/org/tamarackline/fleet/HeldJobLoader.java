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

    private interface RecordReader {
        void read(Optional<RecordStore.Entry> entry) throws CorruptRecordException;
    }

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
        readRecord(RecordStore.Table.JOBS, id, entry -> {
            if (entry.isPresent() && RecordCodec.decodeJob(id, entry.get().value()) instanceof StoredJob.Open open) {
                readProgress(open.definition());
            }
        });
    }

    private void readProgress(JobDefinition job) {
        readRecord(RecordStore.Table.PROGRESS, job.id(), entry -> {
            if (entry.isPresent()) {
                JobProgress progress =
                        RecordCodec.decodeProgress(job.id(), entry.get().value());
                StoredProgress.check(job, progress);
                committer.addStoredProgress(job.id());
                load(job, progress);
            } else if (!committer.hasStoredProgress(job.id())) {
                load(job, JobProgress.NONE);
            }
        });
    }

    /** Reads a record; nothing happens if the store does not answer or the record cannot be decoded. */
    private void readRecord(RecordStore.Table table, String key, RecordReader reader) {
        store.read(table, key, key + "\u0000", result -> {
            if (!leading.getAsBoolean() || !(result instanceof RecordStore.ReadResult.Page page)) {
                return;
            }
            try {
                reader.read(page.entries().stream().findFirst());
            } catch (CorruptRecordException stillCorrupt) {
                // It was logged when the job was held.
            }
        });
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
