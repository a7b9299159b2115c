package org.tamarackline.fleet;

import java.time.Duration;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.StartResult;

/**
 * Receives the events that a node counts and measures.
 *
 * <p>Events are frequent and a node has a fraction of a processor, so arguments are enum constants and numbers: an
 * implementation can record them without building labels. Methods without another remark are called on the event loop.
 */
public interface FleetMetrics {

    /** Ignores all events. */
    FleetMetrics NONE = new NoMetrics();

    /** A submission was answered. Callable from any thread. */
    void submitted(FleetNode.SubmitResult result);

    /** A submission was refused and not stored. Callable from any thread. */
    void submissionRefused(RefusalReason reason);

    /** A request of a caller was answered. Callable from any thread. */
    void requestCompleted(Duration duration);

    /** The leadership changed, or failed to. */
    void leadershipChanged(LeadershipEvent event);

    /** A leader measured its state, or ended. */
    void leaderSampled(LeaderSample sample);

    /** The result of a start command is known. */
    void startCompleted(StartResult result);

    /**
     * A task that was ready runs.
     *
     * @param waitedNanos time from ready to started, in nanoseconds
     */
    void taskStarted(long waitedNanos);

    /** A runner reported the end of a run. */
    void runEnded(EndReason reason);

    /**
     * A runner reported the end of a run whose job was cancelled.
     *
     * @param sinceCancelledNanos time since the leader learned of the cancellation, in nanoseconds
     */
    void cancelledRunEnded(long sinceCancelledNanos);

    /** A run was removed whose end no runner reported. */
    void runLost();

    /** The leader noticed something about a runner. */
    void runnerChanged(RunnerEvent event);

    /** A call to a runner got its response, or will not get one any more. */
    void runnerCallCompleted(RunnerCallKind kind, RunnerCalls.RunnerCommandOutcome outcome);

    /**
     * A transaction of the store was answered, or its answer is no longer awaited.
     *
     * @param tookNanos time since it was sent, in nanoseconds
     */
    void transactionCompleted(TransactionPurpose purpose, TransactionOutcome outcome, long tookNanos);

    /** The store rejected a change of the leader's jobs or roster, which is therefore stored later than others. */
    void changeIsolated();

    /** A read of the store was answered, or its answer is no longer awaited. */
    void readCompleted(ReadPurpose purpose, ReadOutcome outcome);

    /**
     * A step of the event loop that was due at a certain time ran.
     *
     * @param delayNanos by how much it was late, in nanoseconds
     */
    void loopDelayed(long delayNanos);

    /** Why a submission was refused. */
    enum RefusalReason {
        /** The node has no configuration yet. */
        NOT_CONFIGURED,
        /** No queue matches the host and path. */
        NO_QUEUE,
        /** The identifier is malformed. */
        INVALID_ID,
        /** The job is malformed. */
        INVALID_JOB,
        /** The job is too large to be stored. */
        TOO_LARGE,
        /** The store did not answer lately, so the submission was not sent to it. */
        STORE_SUSPENDED,
        /** The store refused the transaction, or it was never sent. */
        STORE_REFUSED
    }

    /** Change of the leadership as one node sees it. */
    enum LeadershipEvent {
        /** This node leads. */
        STARTED,
        /** This node has read the state and starts tasks. */
        READY,
        /** This node no longer leads. */
        ENDED,
        /** This node's resignation is stored. */
        RESIGNED,
        /** This node's resignation could not be stored; it tries again. */
        RESIGNATION_FAILED,
        /** This node follows another leader than before. */
        FOLLOWED,
        /** This node takes the leader for ended. */
        SUSPECTED,
        /** This node does not replace a leader that the store does not answer, because it does not answer this node either. */
        KEPT,
        /** This node hands over to a node with more capacity. */
        YIELDED,
        /** This node could not store its claim, or does not know whether it did. */
        TAKEOVER_FAILED
    }

    /** What a leader notices about a runner. */
    enum RunnerEvent {
        /** It did not answer a poll. */
        SILENT,
        /** It answers again. */
        BACK,
        /** Its lease has expired or its process has ended, so that its runs are lost. */
        LOST,
        /** It is no longer in the directory. */
        DEREGISTERED,
        /** Another process answers under its identifier. */
        RESTARTED
    }

    /** Kind of a call to a runner. */
    enum RunnerCallKind {
        /** Polls the status and renews the lease. */
        POLL,
        /** Polls the runner before a start, to learn whether its process is still the same. */
        VERIFICATION,
        /** Starts a run. */
        START,
        /** Stops a run. */
        STOP,
        /** Limits the speed of a run. */
        THROTTLE
    }

    /** What a transaction is for. */
    enum TransactionPurpose {
        /** Changes of a leader's jobs and roster. */
        COMMIT,
        /** Claim of the leadership. */
        CLAIM,
        /** Resignation of the leadership. */
        RESIGNATION,
        /** Limit of the runner leases. */
        LEASE_LIMIT,
        /** Probe whether the store takes transactions of a node that follows a leader. */
        WRITE_PROBE,
        /** Submission of a job. */
        SUBMISSION,
        /** Cancellation of a job. */
        CANCELLATION
    }

    /** Outcome of a transaction. */
    enum TransactionOutcome {
        /** It was applied. */
        APPLIED,
        /** A condition did not hold; nothing was written. */
        CONFLICT,
        /** It was refused or never sent; nothing was written. */
        NOT_APPLIED,
        /** The store does not accept it whenever it is sent; nothing was written. */
        REJECTED,
        /** It is not known whether it was applied. */
        UNKNOWN;

        static TransactionOutcome of(RecordStore.TransactionResult result) {
            return switch (result) {
                case RecordStore.TransactionResult.Applied applied -> APPLIED;
                case RecordStore.TransactionResult.Conflict conflict -> CONFLICT;
                case RecordStore.TransactionResult.NotApplied notApplied -> NOT_APPLIED;
                case RecordStore.TransactionResult.Rejected rejected -> REJECTED;
                case RecordStore.TransactionResult.Unknown unknown -> UNKNOWN;
            };
        }
    }

    /** What a read is for. */
    enum ReadPurpose {
        /** The leader record. */
        LEADER_RECORD,
        /** The lease limit and the number of a leader's followers. */
        LEASE_LIMIT,
        /** A page of a table that a leader reads as a whole. */
        TABLE,
        /** Changes of the jobs. */
        JOB_CHANGES,
        /** The configuration, or its changes. */
        CONFIGURATION,
        /** A single job. */
        JOB,
        /** The directory of runners. */
        DIRECTORY
    }

    /** Outcome of a read. */
    enum ReadOutcome {
        /** Records or changes were returned. */
        READ,
        /** The store no longer has the requested changes. */
        HISTORY_LOST,
        /** The read failed. */
        FAILED;

        static ReadOutcome of(RecordStore.ReadResult result) {
            return switch (result) {
                case RecordStore.ReadResult.Page page -> READ;
                case RecordStore.ReadResult.HistoryLost lost -> HISTORY_LOST;
                case RecordStore.ReadResult.Failed failed -> FAILED;
            };
        }
    }
}
