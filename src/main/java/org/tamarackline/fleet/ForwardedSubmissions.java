package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Submissions that nodes passed on to the leader, which stores many of them in one transaction.
 *
 * <p>A slow store executes a few transactions a second and refuses the others. The nodes' single submissions would be
 * refused, and would also keep out the transactions of the leader.
 */
final class ForwardedSubmissions {

    /** Time after which a submission that is not being stored is refused. */
    private static final Duration MAX_WAIT = Duration.ofMillis(1_200);

    /** Maximum number of submissions that wait; further ones are refused at once. */
    private static final int MAX_WAITING = 200;

    /** Maximum size of the records of one transaction in bytes; the store limits a transaction to a megabyte of text. */
    private static final int MAX_BATCH_BYTES = 400_000;

    private static final String TOO_LATE = "the leader could not store it in time";

    /** Submission of a job, whose outcome is passed on once. */
    static final class Submission {

        private final String job;
        private final byte[] value;
        private final long deadlineNanos;
        private final Consumer<JobRequestHandler.Outcome> callback;
        private boolean mayBeStored;
        private boolean over;

        private Submission(String job, byte[] value, long deadlineNanos, Consumer<JobRequestHandler.Outcome> callback) {
            this.job = job;
            this.value = value;
            this.deadlineNanos = deadlineNanos;
            this.callback = callback;
        }

        String job() {
            return job;
        }

        /** Returns the record to store. */
        byte[] value() {
            return value;
        }

        private void end(JobRequestHandler.Outcome outcome) {
            if (!over) {
                over = true;
                callback.accept(outcome);
            }
        }

        private void endUnstored(String cause) {
            end(
                    mayBeStored
                            ? new JobRequestHandler.Outcome.Undetermined(cause)
                            : new JobRequestHandler.Outcome.Unavailable(cause));
        }
    }

    private final EventLoop loop;
    private final Deque<Submission> waiting = new ArrayDeque<>();

    ForwardedSubmissions(EventLoop loop) {
        this.loop = loop;
    }

    /** Adds a submission; the callback receives its outcome. */
    void add(String job, byte[] value, Consumer<JobRequestHandler.Outcome> callback) {
        if (waiting.size() >= MAX_WAITING) {
            callback.accept(new JobRequestHandler.Outcome.Unavailable("too many submissions wait for the store"));
            return;
        }
        Submission submission = new Submission(job, value, loop.nowNanos() + MAX_WAIT.toNanos(), callback);
        waiting.add(submission);
        loop.schedule(MAX_WAIT, () -> {
            if (waiting.remove(submission)) {
                submission.endUnstored(TOO_LATE);
            }
        });
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Takes the submissions of the next transaction; one of the other methods must be called with them afterwards.
     *
     * @param permitted tells of a job whether it may be taken
     */
    List<Submission> take(int maxCount, int maxBytes, Predicate<String> permitted) {
        List<Submission> taken = new ArrayList<>();
        int bytes = 0;
        for (Submission submission : List.copyOf(waiting)) {
            if (!permitted.test(submission.job())) {
                continue;
            }
            bytes += submission.value().length;
            if (taken.size() == maxCount || bytes > Math.min(maxBytes, MAX_BATCH_BYTES)) {
                break;
            }
            waiting.remove(submission);
            taken.add(submission);
        }
        return taken;
    }

    /** The transaction with the submissions was applied. */
    void onStored(List<Submission> submissions) {
        submissions.forEach(
                submission -> submission.end(new JobRequestHandler.Outcome.Accepted("stored by the leader")));
    }

    /**
     * The transaction was not applied, and may not be.
     *
     * @param existing keys of the jobs that the store has already
     * @param withdrawn those of them that were cancelled before they were stored
     */
    void onConflict(List<Submission> submissions, Set<String> existing, Set<String> withdrawn) {
        if (existing.isEmpty()) {
            // The store has found a record, but does not say which.
            onUnknown(submissions);
            return;
        }
        for (Submission submission : submissions) {
            if (withdrawn.contains(submission.job())) {
                submission.end(new JobRequestHandler.Outcome.NoSuchJob());
            } else if (existing.contains(submission.job())) {
                submission.end(new JobRequestHandler.Outcome.Accepted("stored before"));
            } else {
                retry(submission);
            }
        }
    }

    /** The store rejects the transaction whenever it is sent. */
    void onRejected(List<Submission> submissions, String cause) {
        for (Submission submission : submissions) {
            submission.endUnstored("the store rejects the job: " + cause);
        }
    }

    /** The transaction was refused. */
    void onRefused(List<Submission> submissions) {
        submissions.forEach(this::retry);
    }

    /** It is not known whether the transaction was applied; a repetition finds it out. */
    void onUnknown(List<Submission> submissions) {
        for (Submission submission : submissions) {
            submission.mayBeStored = true;
            retry(submission);
        }
    }

    /** Puts a submission back, unless its time ended while a transaction contained it. */
    private void retry(Submission submission) {
        if (loop.nowNanos() - submission.deadlineNanos >= 0) {
            submission.endUnstored(TOO_LATE);
        } else {
            waiting.addLast(submission);
        }
    }

    /** The leader ends; submissions that a transaction contains may be stored. */
    void endAll(List<Submission> inTransaction) {
        for (Submission submission : inTransaction) {
            submission.mayBeStored = true;
            submission.endUnstored("the leader has ended");
        }
        waiting.forEach(submission -> submission.endUnstored("the leader has ended"));
        waiting.clear();
    }
}
