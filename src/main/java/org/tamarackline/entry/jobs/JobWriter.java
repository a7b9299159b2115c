package org.tamarackline.entry.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.entry.jobs.JobRefusedException.Executed;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TableTransaction.Check;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TransactionConflictException;

/**
 * Writes the rows of a new job to a rack that this node owns.
 *
 * <p>The first transaction writes the job row and the rows of the first tasks, and the last one marks the job as complete.
 * A repeated submission continues after the last task row that was written.
 */
final class JobWriter {

    private static final int TASKS_PER_TRANSACTION = RowFormat.MAX_TRANSACTION_ROWS - 1;
    private static final int MAX_SENDS_PER_TRANSACTION = 3;
    private static final long FIRST_VERSION = 1;

    private final TableStore table;
    private final RowFormat rowFormat;

    JobWriter(TableStore table, RowFormat rowFormat) {
        this.table = table;
        this.rowFormat = rowFormat;
    }

    /**
     * Writes all missing rows and returns the task rows that this call wrote.
     *
     * @param shardRowVersion version of the shard row that names this node as owner; the writes are conditional on it
     * @throws JobRefusedException if not all rows could be written, or the outcome is unknown
     */
    List<VersionedRow> write(JobRow submitted, ShardId shard, long shardRowVersion) throws JobRefusedException {
        try {
            Optional<Row> existing = table.get(RowFormat.jobKey(submitted.id()));
            if (existing.isPresent()) {
                return resume(submitted, shard, shardRowVersion, existing.get());
            }
            JobRow job = submitted.withAcceptingShard(shard);
            return new RowWriter(job, shard, shardRowVersion).write(0, 0);
        } catch (PlatformUnavailableException e) {
            throw new JobRefusedException(
                    JobErrorCode.PLATFORM_UNAVAILABLE, "the platform is unreachable; submit again later");
        }
    }

    private List<VersionedRow> resume(JobRow submitted, ShardId shard, long shardRowVersion, Row existing)
            throws JobRefusedException, PlatformUnavailableException {
        JobRow job = RowFormat.readJob(existing);
        if (!job.digest().equals(submitted.digest())) {
            throw new JobRefusedException(
                    JobErrorCode.KEY_REUSED, "the idempotency key was used with another submission; use a new key");
        }
        if (job.complete() || job.cancelled()) {
            return List.of();
        }
        if (!job.shards().getFirst().equals(shard)) {
            throw new JobRefusedException(
                    JobErrorCode.OWNER_UNAVAILABLE,
                    "another rack accepted the job and has not written all of it; submit again later");
        }
        int written = countWrittenTasks(job);
        return new RowWriter(job, shard, shardRowVersion).write(written, existing.version());
    }

    /** Counts the tasks written so far. Their rows were written in order, but some may have been moved to other racks. */
    private int countWrittenTasks(JobRow job) throws PlatformUnavailableException {
        int next = 0;
        while (next < job.tasks() && exists(job, next)) {
            next += TASKS_PER_TRANSACTION;
        }
        return Math.min(next, job.tasks());
    }

    private boolean exists(JobRow job, int index) throws PlatformUnavailableException {
        for (ShardId shard : job.shards()) {
            if (table.get(rowFormat.taskKey(shard, new TaskId(job.id(), index))).isPresent()) {
                return true;
            }
        }
        return false;
    }

    /** Writes the missing rows of one job. */
    private final class RowWriter {

        private final JobRow job;
        private final ShardId shard;
        private final long shardRowVersion;
        private final List<VersionedRow> written = new ArrayList<>();

        RowWriter(JobRow job, ShardId shard, long shardRowVersion) {
            this.job = job;
            this.shard = shard;
            this.shardRowVersion = shardRowVersion;
        }

        List<VersionedRow> write(int firstTask, long jobVersion) throws JobRefusedException {
            int next = firstTask;
            long version = jobVersion;
            do {
                int end = Math.min(job.tasks(), next + TASKS_PER_TRANSACTION);
                boolean last = end == job.tasks();
                boolean writesJob = version == 0 || last;
                apply(createTransaction(next, end, version, last));
                version += writesJob ? 1 : 0;
                next = end;
            } while (next < job.tasks());
            return written;
        }

        private TableTransaction createTransaction(int from, int to, long jobVersion, boolean last) {
            String jobKey = RowFormat.jobKey(job.id());
            List<Check> checks = new ArrayList<>();
            List<Write> writes = new ArrayList<>();
            checks.add(new Check(rowFormat.shardKey(shard), shardRowVersion));
            checks.add(new Check(jobKey, jobVersion));
            if (jobVersion == 0 || last) {
                writes.add(new Write(jobKey, RowFormat.toJson(last ? job.asComplete() : job)));
            }
            for (int index = from; index < to; index++) {
                TaskRow task = TaskRow.submitted(new TaskId(job.id(), index), job.spec());
                String key = rowFormat.taskKey(shard, task.task());
                checks.add(new Check(key, 0));
                writes.add(new Write(key, RowFormat.toJson(task)));
                written.add(new VersionedRow(task, FIRST_VERSION));
            }
            return new TableTransaction(UUID.randomUUID().toString(), checks, writes);
        }

        private void apply(TableTransaction transaction) throws JobRefusedException {
            boolean mayHaveTakenEffect = false;
            for (int attempt = 0; attempt < MAX_SENDS_PER_TRANSACTION; attempt++) {
                try {
                    table.transact(transaction);
                    return;
                } catch (TransactionConflictException e) {
                    if (mayHaveTakenEffect && tookEffect(transaction)) {
                        return;
                    }
                    throw conflictError(e);
                } catch (OutcomeUnknownException e) {
                    mayHaveTakenEffect = true;
                } catch (PlatformUnavailableException e) {
                    if (!mayHaveTakenEffect) {
                        throw unavailableError();
                    }
                }
            }
            throw new JobRefusedException(
                    JobErrorCode.OUTCOME_UNKNOWN,
                    "the job may have been submitted; submit it again with the same Idempotency-Key or read its state",
                    Executed.UNKNOWN);
        }

        private boolean tookEffect(TableTransaction transaction) throws JobRefusedException {
            try {
                return table.wasApplied(transaction.token());
            } catch (PlatformUnavailableException e) {
                throw new JobRefusedException(
                        JobErrorCode.OUTCOME_UNKNOWN, "the job may have been submitted", Executed.UNKNOWN);
            }
        }

        private JobRefusedException conflictError(TransactionConflictException conflict) {
            return new JobRefusedException(
                    JobErrorCode.OWNER_UNAVAILABLE,
                    "row %s was changed concurrently; submit again".formatted(conflict.key()),
                    executedSoFar());
        }

        private JobRefusedException unavailableError() {
            return new JobRefusedException(
                    JobErrorCode.PLATFORM_UNAVAILABLE,
                    "the platform is unreachable; submit again later",
                    executedSoFar());
        }

        /** Unknown once this call has applied a transaction, because its rows stay when a later transaction fails. */
        private Executed executedSoFar() {
            return written.size() > TASKS_PER_TRANSACTION ? Executed.UNKNOWN : Executed.NO;
        }
    }
}
