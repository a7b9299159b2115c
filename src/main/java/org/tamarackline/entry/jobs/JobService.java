package org.tamarackline.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import com.google.inject.Inject;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.TaskSpec;
import org.tamarackline.core.task.TaskState;
import org.tamarackline.entry.jobs.JobMessages.JobStatusResponse;
import org.tamarackline.entry.jobs.JobMessages.TaskStatusResponse;
import org.tamarackline.entry.jobs.JobRefusedException.Executed;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TableTransaction.Check;
import org.tamarackline.store.TableTransaction.Write;
import org.tamarackline.store.TransactionConflictException;

/** Submits, reads and cancels jobs for callers. Its methods block on the platform and on the nodes that own racks. */
final class JobService {

    /** Leaves time to write the largest job, which takes 51 transactions. */
    private static final Duration SUBMIT_TIMEOUT = Duration.ofSeconds(20);

    private static final int MAX_CANCEL_ATTEMPTS = 5;
    private static final int JOB_ID_HEX_DIGITS = 32;

    private final JobsContext context;
    private final RackLoadCache loads;
    private final RackOwnerClient owners;

    @Inject
    JobService(JobsContext context, RackLoadCache loads, RackOwnerClient owners) {
        this.context = context;
        this.loads = loads;
        this.owners = owners;
    }

    /**
     * Submits a job and returns it once all its rows are written.
     *
     * @throws JobRefusedException if the job was not written completely, or the outcome is unknown
     */
    JobView submit(CallerName caller, Submission submission) throws JobRefusedException {
        requireConfirmedMembership();
        checkConfigured(submission);
        JobRow job = createJob(caller, submission);
        Optional<JobRow> existing = submission.idempotencyKey().isPresent() ? readJob(job.id()) : Optional.empty();
        if (existing.isPresent()) {
            return handleRepeat(job, existing.get());
        }
        ShardId shard = chooseRack(submission);
        submitToOwner(shard, job);
        return JobView.of(job, Map.of(TaskState.PENDING, job.tasks()), Map.of());
    }

    private void requireConfirmedMembership() throws JobRefusedException {
        MembershipStatus membershipStatus = context.cluster().membershipStatus();
        if (membershipStatus == MembershipStatus.ISOLATED) {
            throw new JobRefusedException(
                    JobErrorCode.NODE_ISOLATED,
                    "this node is isolated from the cluster; send the request to another node");
        }
        if (membershipStatus == MembershipStatus.OUTAGE) {
            throw platformUnavailable();
        }
    }

    private static JobRefusedException platformUnavailable() {
        return new JobRefusedException(
                JobErrorCode.PLATFORM_UNAVAILABLE, "the platform is unreachable; try again later");
    }

    private void checkConfigured(Submission submission) throws JobRefusedException {
        Configuration configuration = context.cluster().configuration().orElseGet(Configuration::initial);
        boolean profileKnown = configuration.profiles().stream()
                .anyMatch(profile -> profile.name().equals(submission.profile()));
        if (!profileKnown) {
            throw new JobRefusedException(
                    JobErrorCode.UNKNOWN_PROFILE,
                    "profile \"%s\" is not configured"
                            .formatted(submission.profile().value()));
        }
        boolean teamKnown = configuration.teams().isEmpty()
                || configuration.teams().stream().anyMatch(quota -> quota.team().equals(submission.team()));
        if (!teamKnown) {
            throw new JobRefusedException(
                    JobErrorCode.UNKNOWN_TEAM,
                    "team \"%s\" is not configured".formatted(submission.team().value()));
        }
    }

    private static JobRow createJob(CallerName caller, Submission submission) {
        TaskSpec spec = new TaskSpec(
                caller, submission.team(), submission.profile(), submission.resources(), submission.command());
        String digest = sha256(spec.toString() + submission.tasks());
        JobId id = submission
                .idempotencyKey()
                .map(key -> new JobId("j" + sha256(caller.value() + "\n" + key).substring(0, JOB_ID_HEX_DIGITS)))
                .orElseGet(() -> new JobId("j" + UUID.randomUUID().toString().replace("-", "")));
        return new JobRow(id, spec, submission.tasks(), digest, List.of(), false, false);
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private JobView handleRepeat(JobRow job, JobRow existing) throws JobRefusedException {
        if (!existing.digest().equals(job.digest())) {
            throw new JobRefusedException(
                    JobErrorCode.KEY_REUSED, "the idempotency key was used with another submission; use a new key");
        }
        if (!existing.complete()) {
            submitToOwner(existing.shards().getFirst(), job);
        }
        return view(existing.asComplete());
    }

    private ShardId chooseRack(Submission submission) throws JobRefusedException {
        if (loads.byRack().isEmpty()) {
            loads.refresh();
        }
        return loads.selectRack(submission.resources(), Optional.empty())
                .orElseThrow(
                        () -> new JobRefusedException(JobErrorCode.NO_RACK, "no rack is available; try again later"));
    }

    private void submitToOwner(ShardId shard, JobRow job) throws JobRefusedException {
        NodeId owner = context.cluster()
                .ownerOf(shard)
                .orElseThrow(() -> new JobRefusedException(
                        JobErrorCode.OWNER_UNAVAILABLE, "%s currently has no owner; submit again".formatted(shard)));
        PeerMessage response;
        try {
            response = owners.call(owner, new JobMessages.SubmitJob(shard, job), SUBMIT_TIMEOUT);
        } catch (PeerException e) {
            resolveByJobRow(job, e);
            return;
        }
        if (response instanceof JobMessages.SubmitRefused refused) {
            throw new JobRefusedException(refused.code(), refused.detail(), refused.executed());
        }
        if (response instanceof PeerMessage.Refused refused) {
            throw new JobRefusedException(JobErrorCode.OWNER_UNAVAILABLE, refused.detail());
        }
    }

    /**
     * Resolves a submission without a response. If the request may have arrived, only a complete job row shows the outcome:
     * without one, the owner may still be writing the job.
     */
    private void resolveByJobRow(JobRow job, PeerException failure) throws JobRefusedException {
        boolean notSent = failure.reason() == PeerException.Reason.UNREACHABLE
                || failure.reason() == PeerException.Reason.REFUSED
                || failure.reason() == PeerException.Reason.HANDSHAKE_REJECTED;
        if (notSent) {
            throw new JobRefusedException(
                    JobErrorCode.OWNER_UNAVAILABLE, "the owner of the rack could not be reached; submit again");
        }
        boolean recorded = readJob(job.id()).map(JobRow::complete).orElse(false);
        if (!recorded) {
            throw new JobRefusedException(
                    JobErrorCode.OUTCOME_UNKNOWN,
                    "job %s may have been submitted; read its state later".formatted(job.id()),
                    Executed.UNKNOWN);
        }
    }

    private Optional<JobRow> readJob(JobId id) throws JobRefusedException {
        try {
            return context.table().get(RowFormat.jobKey(id)).map(RowFormat::readJob);
        } catch (PlatformUnavailableException e) {
            throw platformUnavailable();
        }
    }

    /**
     * Returns a job of the caller.
     *
     * @throws JobRefusedException if the caller has no such job, or its row could not be read
     */
    JobView get(CallerName caller, JobId id) throws JobRefusedException {
        return view(readJobOf(caller, id));
    }

    private JobRow readJobOf(CallerName caller, JobId id) throws JobRefusedException {
        return readJob(id).filter(job -> job.spec().caller().equals(caller)).orElseThrow(() -> notFound(id));
    }

    private static JobRefusedException notFound(JobId id) {
        return new JobRefusedException(JobErrorCode.NOT_FOUND, "job %s does not exist".formatted(id));
    }

    private JobView view(JobRow job) {
        Map<TaskState, Integer> counts = new HashMap<>();
        Map<ParkReason, Integer> parked = new HashMap<>();
        for (NodeId owner : owners.ownersOf(job.shards())) {
            owners.tryCall(owner, new JobMessages.JobStatusRequest(job.id()), JobStatusResponse.class)
                    .ifPresent(response -> {
                        response.counts().forEach((state, count) -> counts.merge(state, count, Integer::sum));
                        response.parked().forEach((reason, count) -> parked.merge(reason, count, Integer::sum));
                    });
        }
        return JobView.of(job, counts, parked);
    }

    /**
     * Cancels a job of the caller. The cancellation is written to the job row first, so that it is not lost when an owner of
     * its racks fails.
     *
     * @throws JobRefusedException if the cancellation was not written, its outcome is unknown, or an owner of tasks did not
     *     acknowledge it
     */
    JobView cancel(CallerName caller, JobId id) throws JobRefusedException {
        requireConfirmedMembership();
        JobRow cancelled = recordCancellation(caller, id);
        for (NodeId owner : owners.ownersOf(cancelled.shards())) {
            boolean acknowledged = owners.tryCall(owner, new JobMessages.CancelJob(id), PeerMessage.Ok.class)
                    .isPresent();
            if (!acknowledged) {
                throw new JobRefusedException(
                        JobErrorCode.OWNER_UNAVAILABLE,
                        "the cancellation is recorded, but an owner of tasks did not acknowledge it; cancel again",
                        Executed.UNKNOWN);
            }
        }
        return view(cancelled);
    }

    private JobRow recordCancellation(CallerName caller, JobId id) throws JobRefusedException {
        for (int attempt = 0; attempt < MAX_CANCEL_ATTEMPTS; attempt++) {
            Row row = readJobRow(id).orElseThrow(() -> notFound(id));
            JobRow job = RowFormat.readJob(row);
            if (!job.spec().caller().equals(caller)) {
                throw notFound(id);
            }
            if (job.cancelled() || tryWrite(row, job.asCancelled())) {
                return job.asCancelled();
            }
        }
        throw new JobRefusedException(
                JobErrorCode.OUTCOME_UNKNOWN,
                "the outcome of the cancellation is unknown; cancel again",
                Executed.UNKNOWN);
    }

    private Optional<Row> readJobRow(JobId id) throws JobRefusedException {
        try {
            return context.table().get(RowFormat.jobKey(id));
        } catch (PlatformUnavailableException e) {
            throw platformUnavailable();
        }
    }

    /** Returns whether the row was written; if not, the caller has to read it again, as it may have changed. */
    private boolean tryWrite(Row row, JobRow cancelled) throws JobRefusedException {
        TableTransaction transaction = new TableTransaction(
                UUID.randomUUID().toString(),
                List.of(new Check(row.key(), row.version())),
                List.of(new Write(row.key(), RowFormat.toJson(cancelled))));
        try {
            context.table().transact(transaction);
            return true;
        } catch (TransactionConflictException | OutcomeUnknownException e) {
            return false;
        } catch (PlatformUnavailableException e) {
            throw platformUnavailable();
        }
    }

    /**
     * Returns the result of one task of a job of the caller.
     *
     * @throws JobRefusedException if the task has no result, or the result could not be read
     */
    byte[] result(CallerName caller, JobId id, int index) throws JobRefusedException {
        JobRow job = readJobOf(caller, id);
        if (index < 0 || index >= job.tasks()) {
            throw new JobRefusedException(
                    JobErrorCode.NOT_FOUND, "job %s has tasks 0 to %d".formatted(id, job.tasks() - 1));
        }
        TaskStatusResponse response = findTask(job, new TaskId(id, index));
        if (!response.state().map(TaskState::isFinal).orElse(false)) {
            throw new JobRefusedException(
                    JobErrorCode.NOT_FINISHED, "task %d has not ended; try again later".formatted(index));
        }
        String key = response.outcome()
                .flatMap(outcome -> outcome.resultKey())
                .orElseThrow(() -> new JobRefusedException(
                        JobErrorCode.NO_RESULT, "task %d ended without a result".formatted(index)));
        return readResult(key);
    }

    private TaskStatusResponse findTask(JobRow job, TaskId task) throws JobRefusedException {
        for (NodeId owner : owners.ownersOf(job.shards())) {
            Optional<TaskStatusResponse> response = owners.tryCall(
                            owner, new JobMessages.TaskStatusRequest(task), TaskStatusResponse.class)
                    .filter(found -> found.state().isPresent());
            if (response.isPresent()) {
                return response.get();
            }
        }
        throw new JobRefusedException(JobErrorCode.OWNER_UNAVAILABLE, "no owner reported the task; try again later");
    }

    private byte[] readResult(String key) throws JobRefusedException {
        try {
            return context.objects()
                    .get(key)
                    .orElseThrow(() -> new JobRefusedException(
                            JobErrorCode.NO_RESULT, "the result is no longer in the object store"));
        } catch (PlatformUnavailableException e) {
            throw platformUnavailable();
        }
    }
}
