package org.tamarackline.fleet;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.ProgressLayout;

/** Handles requests about jobs on any node: stores submissions and cancellations, and looks up the state of jobs. */
final class JobRequestHandler {

    private static final Outcome.Unavailable STORE_SUSPENDED =
            new Outcome.Unavailable("the store did not answer lately");

    private final EventLoop loop;
    private final RecordStore store;
    private final Election election;
    private final PeerCalls peers;
    private final FleetMetrics metrics;
    private final InstantSource timeOfDay;
    private final StoreCircuitBreaker breaker;
    private final WithdrawalLimit withdrawalLimit;

    JobRequestHandler(
            EventLoop loop,
            RecordStore store,
            StoreContact storeContact,
            Election election,
            PeerCalls peers,
            FleetMetrics metrics,
            InstantSource timeOfDay) {
        this.loop = loop;
        this.store = store;
        this.election = election;
        this.peers = peers;
        this.metrics = metrics;
        this.timeOfDay = timeOfDay;
        this.breaker = new StoreCircuitBreaker(loop, storeContact);
        this.withdrawalLimit = new WithdrawalLimit(loop);
    }

    /** Stores a job unless it is already stored. */
    void submit(JobDefinition job, Consumer<Outcome> callback) {
        byte[] value = RecordCodec.encodeOpenJob(job);
        Optional<String> excess = excessOf(job, value);
        if (excess.isPresent()) {
            metrics.submissionRefused(FleetMetrics.RefusalReason.TOO_LARGE);
            callback.accept(new Outcome.TooLarge(excess.get()));
            return;
        }
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, job.id(), 0)),
                List.of(new RecordStore.Write(RecordStore.Table.JOBS, job.id(), value)));
        loop.execute(() -> {
            if (breaker.tryAcquireForSubmission()) {
                send(FleetMetrics.TransactionPurpose.SUBMISSION, transaction, result -> {
                    if (isWithdrawn(result)) {
                        callback.accept(new Outcome.NoSuchJob());
                    } else if (result instanceof RecordStore.TransactionResult.Rejected) {
                        metrics.submissionRefused(FleetMetrics.RefusalReason.STORE_REFUSED);
                        callback.accept(outcomeOf(result));
                    } else if (outcomeOf(result) instanceof Outcome.Unavailable unavailable) {
                        passOn(job.id(), value, FleetMetrics.RefusalReason.STORE_REFUSED, unavailable, callback);
                    } else {
                        callback.accept(outcomeOf(result));
                    }
                });
            } else {
                passOn(job.id(), value, FleetMetrics.RefusalReason.STORE_SUSPENDED, STORE_SUSPENDED, callback);
            }
        });
    }

    /** Returns why a job can't be stored, now or until it ends; empty if it can. */
    private static Optional<String> excessOf(JobDefinition job, byte[] value) {
        if (value.length > RecordStore.MAX_RECORD_BYTES) {
            return Optional.of("the job takes %d bytes, more than the maximum of %d; split it"
                    .formatted(value.length, RecordStore.MAX_RECORD_BYTES));
        }
        try {
            ProgressLayout.check(job);
            return Optional.empty();
        } catch (IllegalArgumentException invalid) {
            return Optional.of(invalid.getMessage());
        }
    }

    /**
     * Passes a submission on to the leader, because the store does not take transactions of this node.
     *
     * @param reason reason to count if the leader refuses the submission, too
     * @param refusal outcome if there is no leader
     */
    private void passOn(
            String job,
            byte[] value,
            FleetMetrics.RefusalReason reason,
            Outcome.Unavailable refusal,
            Consumer<Outcome> callback) {
        long sentNanos = loop.nowNanos();
        Consumer<Outcome> countingCallback = outcome -> {
            breaker.onPassedOn(outcome instanceof Outcome.Accepted, loop.nowNanos() - sentNanos);
            if (outcome instanceof Outcome.Unavailable) {
                metrics.submissionRefused(reason);
            }
            callback.accept(outcome);
        };
        Optional<String> address = election.leaderAddress();
        if (election.leader().isPresent()) {
            election.submit(job, value, countingCallback);
        } else if (address.isPresent()) {
            peers.submit(address.get(), job, value, countingCallback);
        } else {
            countingCallback.accept(refusal);
        }
    }

    private void send(
            FleetMetrics.TransactionPurpose purpose,
            RecordStore.Transaction transaction,
            Consumer<RecordStore.TransactionResult> callback) {
        long sentNanos = loop.nowNanos();
        store.transact(transaction, result -> {
            FleetMetrics.TransactionOutcome outcome = FleetMetrics.TransactionOutcome.of(result);
            metrics.transactionCompleted(purpose, outcome, loop.nowNanos() - sentNanos);
            switch (result) {
                case RecordStore.TransactionResult.Applied applied -> breaker.onSuccess(loop.nowNanos() - sentNanos);
                case RecordStore.TransactionResult.Conflict conflict -> breaker.onSuccess(loop.nowNanos() - sentNanos);
                // The store works; the fault is the transaction's own.
                case RecordStore.TransactionResult.Rejected rejected -> breaker.onSuccess(loop.nowNanos() - sentNanos);
                case RecordStore.TransactionResult.NotApplied notApplied -> breaker.onFailure();
                case RecordStore.TransactionResult.Unknown unknown -> breaker.onFailure();
            }
            callback.accept(result);
        });
    }

    /** Returns whether a submission was refused because its job was cancelled before. */
    private static boolean isWithdrawn(RecordStore.TransactionResult result) {
        return result instanceof RecordStore.TransactionResult.Conflict conflict
                && conflict.current().stream().anyMatch(RecordCodec::isWithdrawnJob);
    }

    private static Outcome outcomeOf(RecordStore.TransactionResult result) {
        return switch (result) {
            case RecordStore.TransactionResult.Applied applied -> new Outcome.Accepted("stored");
            case RecordStore.TransactionResult.Conflict conflict -> new Outcome.Accepted("stored before");
            case RecordStore.TransactionResult.NotApplied notApplied -> new Outcome.Unavailable(notApplied.cause());
            case RecordStore.TransactionResult.Rejected rejected -> new Outcome.Unavailable(rejected.cause());
            case RecordStore.TransactionResult.Unknown unknown -> new Outcome.Undetermined(unknown.cause());
        };
    }

    /** Stores the cancellation of a job, also if the job's record cannot be decoded. */
    void cancel(String id, Consumer<Outcome> callback) {
        loop.execute(() -> readJob(id, stored -> {
            if (stored.failure() != null && !stored.exists()) {
                callback.accept(new Outcome.Unavailable(stored.failure()));
            } else if (!stored.exists()) {
                withdraw(id, stored, callback);
            } else if (stored.state() != null && stored.state().terminal()) {
                callback.accept(new Outcome.Accepted("the job has ended"));
            } else {
                storeCancellation(id, stored.version(), callback);
            }
        }));
    }

    private void storeCancellation(String id, long jobVersion, Consumer<Outcome> callback) {
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, id, jobVersion)),
                List.of(new RecordStore.Write(RecordStore.Table.JOBS, StoredJob.cancelKey(id), new byte[] {1})));
        if (breaker.tryAcquireForCancellation()) {
            send(
                    FleetMetrics.TransactionPurpose.CANCELLATION,
                    transaction,
                    result -> callback.accept(outcomeOf(result)));
        } else {
            callback.accept(STORE_SUSPENDED);
        }
    }

    /**
     * Withdraws a job that the store does not have: a submission of it may still be on its way, in a node or in the
     * store, and must not be stored any more.
     */
    private void withdraw(String id, JobReadResult stored, Consumer<Outcome> callback) {
        if (!RecordCodec.isJobId(id)) {
            callback.accept(new Outcome.NoSuchJob());
            return;
        }
        if (stored.version() > 0) {
            long ageMs = timeOfDay.millis() - stored.withdrawnEpochMs();
            if (ageMs < FleetConstants.WITHDRAWAL_RENEWAL_AGE.toMillis()) {
                callback.accept(new Outcome.NoSuchJob());
                return;
            }
            if (ageMs > FleetConstants.WITHDRAWAL_MAX_RENEWAL_AGE.toMillis()) {
                callback.accept(new Outcome.Unavailable("the record of an earlier cancellation is being removed"));
                return;
            }
        }
        if (!withdrawalLimit.tryAcquire()) {
            callback.accept(new Outcome.Unavailable("too many unknown jobs were cancelled"));
            return;
        }
        storeWithdrawal(id, stored.version(), callback);
    }

    private void storeWithdrawal(String id, long version, Consumer<Outcome> callback) {
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, id, version)),
                List.of(new RecordStore.Write(
                        RecordStore.Table.JOBS, id, RecordCodec.encodeWithdrawnJob(timeOfDay.millis()))));
        if (!breaker.tryAcquireForCancellation()) {
            callback.accept(STORE_SUSPENDED);
            return;
        }
        send(FleetMetrics.TransactionPurpose.CANCELLATION, transaction, result -> {
            switch (result) {
                case RecordStore.TransactionResult.Applied applied -> callback.accept(new Outcome.NoSuchJob());
                // The job was stored, or withdrawn by another request, since it was read.
                case RecordStore.TransactionResult.Conflict conflict -> cancel(id, callback);
                default -> callback.accept(outcomeOf(result));
            }
        });
    }

    /** Looks up the state of a job with the leader, or else in the store. */
    void state(String id, Consumer<StateLookup> callback) {
        loop.execute(() -> {
            Optional<Leader> leader = election.leader();
            Optional<String> address = election.leaderAddress();
            if (leader.isPresent()) {
                leader.get()
                        .state(id)
                        .ifPresentOrElse(
                                state -> callback.accept(new StateLookup(state, null)),
                                () -> readStoredState(id, callback));
            } else if (address.isPresent()) {
                peers.state(address.get(), id, response -> {
                    if (!response.reached()) {
                        election.checkLeader();
                    }
                    if (response.reached() && response.state() != null) {
                        callback.accept(new StateLookup(response.state(), null));
                    } else {
                        readStoredState(id, callback);
                    }
                });
            } else {
                readStoredState(id, callback);
            }
        });
    }

    private void readStoredState(String id, Consumer<StateLookup> callback) {
        readJob(id, stored -> callback.accept(new StateLookup(stored.state(), stored.failure())));
    }

    /** Returns the number of queued jobs of a queue to {@code callback}; empty if no leader answered. */
    void queuedJobCount(String queue, Consumer<Optional<Integer>> callback) {
        loop.execute(() -> {
            Optional<Leader> leader = election.leader();
            Optional<String> address = election.leaderAddress();
            if (leader.isPresent()) {
                callback.accept(leader.get().queuedJobCount(queue));
            } else if (address.isPresent()) {
                peers.queuedJobCount(address.get(), queue, count -> {
                    if (count.isEmpty()) {
                        election.checkLeader();
                    }
                    callback.accept(count);
                });
            } else {
                callback.accept(Optional.empty());
            }
        });
    }

    /** Reads the records of one job: the job itself and its cancellation, whose key follows the job's key. */
    private void readJob(String id, Consumer<JobReadResult> callback) {
        store.read(RecordStore.Table.JOBS, id, StoredJob.cancelKey(id) + "\u0000", result -> {
            metrics.readCompleted(FleetMetrics.ReadPurpose.JOB, FleetMetrics.ReadOutcome.of(result));
            if (result instanceof RecordStore.ReadResult.Page page) {
                callback.accept(readResult(id, page));
            } else {
                callback.accept(JobReadResult.failed(result.toString()));
            }
        });
    }

    private static JobReadResult readResult(String id, RecordStore.ReadResult.Page page) {
        boolean cancelled = false;
        JobReadResult job = JobReadResult.NONE;
        for (RecordStore.Entry entry : page.entries()) {
            if (entry.key().equals(StoredJob.cancelKey(id))) {
                cancelled = true;
            } else if (entry.key().equals(id)) {
                job = decoded(id, entry);
            }
        }
        boolean open = job.exists() && (job.state() == null || !job.state().terminal());
        return cancelled && open ? JobReadResult.job(job.version(), JobState.CANCELLED) : job;
    }

    private static JobReadResult decoded(String id, RecordStore.Entry entry) {
        try {
            return switch (RecordCodec.decodeJob(id, entry.value())) {
                case StoredJob.Open open -> JobReadResult.job(entry.version(), JobState.QUEUED);
                case StoredJob.Finished finished -> JobReadResult.job(entry.version(), finished.state());
                case StoredJob.Withdrawn withdrawn ->
                    new JobReadResult(false, entry.version(), null, withdrawn.withdrawnEpochMs(), null);
            };
        } catch (CorruptRecordException corrupt) {
            return new JobReadResult(true, entry.version(), null, 0, corrupt.getMessage());
        }
    }

    /**
     * Result of reading a job from the store.
     *
     * @param exists whether there is such a job
     * @param version version of the record under the job's identifier, 0 if there is none
     * @param state stored state, null if there is no job or it could not be read
     * @param withdrawnEpochMs when the job was withdrawn, in milliseconds since 1970, meaningful only if it does not exist
     *     and there is a record
     * @param failure cause if the job could not be read, otherwise null
     */
    private record JobReadResult(boolean exists, long version, JobState state, long withdrawnEpochMs, String failure) {

        static final JobReadResult NONE = new JobReadResult(false, 0, null, 0, null);

        static JobReadResult job(long version, JobState state) {
            return new JobReadResult(true, version, state, 0, null);
        }

        static JobReadResult failed(String cause) {
            return new JobReadResult(false, 0, null, 0, cause);
        }
    }

    /**
     * Result of a state request.
     *
     * @param state state of the job, null if there is no such job or it is not known
     * @param failure cause if the state is not known, otherwise null
     */
    record StateLookup(JobState state, String failure) {}

    /** Outcome of a submission or cancellation. */
    sealed interface Outcome {

        /**
         * The submission or cancellation is stored.
         *
         * @param detail explanation, for the log
         */
        record Accepted(String detail) implements Outcome {}

        /**
         * It is certainly not stored and never will be.
         *
         * @param cause explanation by the store
         */
        record Unavailable(String cause) implements Outcome {}

        /**
         * It may have been stored, or may still be.
         *
         * @param cause cause of the failure
         */
        record Undetermined(String cause) implements Outcome {}

        /**
         * The job is too large to be stored.
         *
         * @param cause message that tells the caller how to change the job
         */
        record TooLarge(String cause) implements Outcome {}

        /** There is no such job; if the request submits one, it was cancelled before and never runs. */
        record NoSuchJob() implements Outcome {}
    }
}
