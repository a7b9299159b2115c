package org.tamarackline.fleet;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobState;

/** Accepts jobs, cancels them and tells their state, on any node. */
final class JobRequestHandler {

    /** Largest stored job in bytes, which the store's bound on a record allows in its text form. */
    private static final int MAX_JOB_BYTES = 45_000;

    private final EventLoop loop;
    private final RecordStore store;
    private final Election election;
    private final PeerCalls peers;
    private final StoreCircuitBreaker breaker;

    JobRequestHandler(EventLoop loop, RecordStore store, Election election, PeerCalls peers) {
        this.loop = loop;
        this.store = store;
        this.election = election;
        this.peers = peers;
        this.breaker = new StoreCircuitBreaker(loop);
    }

    /** Stores a job unless it is stored already. */
    void submit(JobDefinition job, Consumer<Outcome> callback) {
        byte[] value = RecordCodec.openJob(job);
        if (value.length > MAX_JOB_BYTES) {
            callback.accept(new Outcome.TooLarge(
                    "the job takes %d bytes, more than %d; split it".formatted(value.length, MAX_JOB_BYTES)));
            return;
        }
        RecordStore.Transaction transaction = new RecordStore.Transaction(
                List.of(new RecordStore.Condition(RecordStore.Table.JOBS, job.id(), 0)),
                List.of(new RecordStore.Write(RecordStore.Table.JOBS, job.id(), value)));
        loop.execute(() -> send(transaction, callback));
    }

    private void send(RecordStore.Transaction transaction, Consumer<Outcome> callback) {
        if (!breaker.tryAcquire()) {
            callback.accept(new Outcome.Unavailable("the store did not answer lately"));
            return;
        }
        store.transact(transaction, result -> {
            if (result instanceof RecordStore.TransactionResult.Applied
                    || result instanceof RecordStore.TransactionResult.Conflict) {
                breaker.onSuccess();
            } else {
                breaker.onFailure();
            }
            callback.accept(outcomeOf(result));
        });
    }

    private static Outcome outcomeOf(RecordStore.TransactionResult result) {
        return switch (result) {
            case RecordStore.TransactionResult.Applied applied -> new Outcome.Accepted("stored");
            case RecordStore.TransactionResult.Conflict conflict -> new Outcome.Accepted("stored before");
            case RecordStore.TransactionResult.NotApplied notApplied -> new Outcome.Unavailable(notApplied.cause());
            case RecordStore.TransactionResult.Unknown unknown -> new Outcome.Undetermined(unknown.cause());
        };
    }

    /** Stores that a job is cancelled. */
    void cancel(String id, Consumer<Outcome> callback) {
        loop.execute(() -> readJob(id, stored -> {
            if (stored.failure() != null) {
                callback.accept(new Outcome.Unavailable(stored.failure()));
            } else if (!stored.exists()) {
                callback.accept(new Outcome.NoSuchJob());
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
        send(transaction, callback);
    }

    /** Tells the state of a job: from the leader, else from what is stored. */
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

    /** Tells how many jobs of a queue wait; empty if no leader answered. */
    void queuedJobCount(String queue, Consumer<Optional<Integer>> callback) {
        loop.execute(() -> {
            Optional<Leader> leader = election.leader();
            Optional<String> address = election.leaderAddress();
            if (leader.isPresent()) {
                callback.accept(leader.get().queuedJobCount(queue));
            } else if (address.isPresent()) {
                peers.queuedJobCount(address.get(), queue, callback);
            } else {
                callback.accept(Optional.empty());
            }
        });
    }

    /** Reads the records of one job: the job itself and its cancellation, whose key follows it. */
    private void readJob(String id, Consumer<JobReadResult> callback) {
        store.read(RecordStore.Table.JOBS, id, StoredJob.cancelKey(id) + "\u0000", result -> {
            if (result instanceof RecordStore.ReadResult.Page page) {
                callback.accept(readResult(id, page));
            } else {
                callback.accept(new JobReadResult(false, 0, null, result.toString()));
            }
        });
    }

    private static JobReadResult readResult(String id, RecordStore.ReadResult.Page page) {
        boolean cancelled = false;
        JobReadResult job = new JobReadResult(false, 0, null, null);
        for (RecordStore.Entry entry : page.entries()) {
            if (entry.key().equals(StoredJob.cancelKey(id))) {
                cancelled = true;
            } else if (entry.key().equals(id)) {
                job = decoded(id, entry);
            }
        }
        boolean open = job.exists() && (job.state() == null || !job.state().terminal());
        return cancelled && open ? new JobReadResult(true, job.version(), JobState.CANCELLED, null) : job;
    }

    private static JobReadResult decoded(String id, RecordStore.Entry entry) {
        try {
            return switch (RecordCodec.readJob(id, entry.value())) {
                case StoredJob.Open open -> new JobReadResult(true, entry.version(), JobState.QUEUED, null);
                case StoredJob.Finished finished -> new JobReadResult(true, entry.version(), finished.state(), null);
            };
        } catch (CorruptRecordException corrupt) {
            return new JobReadResult(true, entry.version(), null, corrupt.getMessage());
        }
    }

    /**
     * What the store has of a job.
     *
     * @param state state as far as it is stored, null if there is no job
     * @param failure why it is not known, null if it is
     */
    private record JobReadResult(boolean exists, long version, JobState state, String failure) {}

    /**
     * Answer to a question for a state.
     *
     * @param state state of the job, null if there is none or it is not known
     * @param failure why it is not known, null if it is
     */
    record StateLookup(JobState state, String failure) {}

    /** Answer to a submission or cancellation. */
    sealed interface Outcome {

        /**
         * It is stored.
         *
         * @param detail what was found
         */
        record Accepted(String detail) implements Outcome {}

        /**
         * It is certainly not stored and never will be.
         *
         * @param cause what the store said
         */
        record Unavailable(String cause) implements Outcome {}

        /**
         * It may be stored, or may be later.
         *
         * @param cause what went wrong
         */
        record Undetermined(String cause) implements Outcome {}

        /**
         * The job cannot be stored.
         *
         * @param cause how to change it
         */
        record TooLarge(String cause) implements Outcome {}

        /** There is no such job. */
        record NoSuchJob() implements Outcome {}
    }
}
