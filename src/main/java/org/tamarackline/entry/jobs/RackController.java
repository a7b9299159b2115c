package org.tamarackline.entry.jobs;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.WorkerId;
import org.tamarackline.core.placement.EvictionPlanner;
import org.tamarackline.core.placement.SpreadPolicy;
import org.tamarackline.core.task.CommandOutcome;
import org.tamarackline.core.task.RackMode;
import org.tamarackline.core.task.RackScheduler;
import org.tamarackline.core.task.RackSettings;
import org.tamarackline.core.task.Renewal;
import org.tamarackline.core.task.ResultLookup;
import org.tamarackline.core.task.RowChange;
import org.tamarackline.core.task.TaskRow;
import org.tamarackline.core.task.VersionedRow;
import org.tamarackline.core.task.WorkerCommand;
import org.tamarackline.core.task.WorkerProtocol.RenewResponse;
import org.tamarackline.settings.EntrySettings.JobLimits;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;

/**
 * Controls one rack that this node owns: reads its rows, renews the leases of its workers and sends the commands of its
 * {@link RackScheduler}.
 *
 * <p>All methods are called on the loop. Blocking calls run on another executor and pass their outcome back to the loop.
 */
final class RackController {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final ObjectMapper JSON = new ObjectMapper();

    private static final int SCAN_PAGE_ROWS = 500;
    private static final long SCAN_RETRY_DELAY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time after which a suspended rack becomes ready again if it was not handed over. */
    private static final long HANDOVER_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

    /** Interval of the scans that find rows moved from other racks if the notification of the move was lost. */
    private static final long RESCAN_INTERVAL_NANOS = Duration.ofSeconds(60).toNanos();

    private final ShardId shard;
    private final Epoch epoch;
    private final JobsContext context;
    private final RowFormat rowFormat;
    private final RackScheduler scheduler;
    private final WorkerCommandSender commands;
    private final Map<WorkerId, String> addresses = new HashMap<>();

    private Optional<Long> shardRowVersion = Optional.empty();
    private boolean scanInFlight;
    private long nextScanNanos;
    private boolean stopped;
    private long suspendedUntilNanos;

    RackController(ShardId shard, Epoch epoch, JobsContext context) {
        this.shard = shard;
        this.epoch = epoch;
        this.context = context;
        this.rowFormat = context.rowFormat();
        this.commands = new WorkerCommandSender(shard, epoch, context);
        this.scheduler =
                new RackScheduler(rackSettings(context), context.clock(), new SpreadPolicy(), new EvictionPlanner());
        this.suspendedUntilNanos = context.clock().nowNanos();
        this.nextScanNanos = suspendedUntilNanos;
    }

    private static RackSettings rackSettings(JobsContext context) {
        JobLimits jobLimits = context.settings().jobs();
        return new RackSettings(
                jobLimits.workerRenewalInterval(),
                jobLimits.taskLease(),
                context.settings().cluster().driftMargin(),
                jobLimits.poisonThreshold(),
                jobLimits.workerFailureThreshold());
    }

    ShardId shard() {
        return shard;
    }

    Epoch epoch() {
        return epoch;
    }

    RackScheduler scheduler() {
        return scheduler;
    }

    /** Returns the version of the shard row with the epoch of this ownership, empty until a scan has found it. */
    Optional<Long> shardRowVersion() {
        return shardRowVersion;
    }

    /** Returns whether the rack accepts submissions and schedules tasks. */
    boolean isReady() {
        return shardRowVersion.isPresent() && !stopped && context.clock().nowNanos() >= suspendedUntilNanos;
    }

    /** Ends all activity; outcomes of calls in flight are ignored. */
    void stop() {
        stopped = true;
    }

    /** Makes the rack not ready for {@link #HANDOVER_TIMEOUT_NANOS}, during which it can be handed over. */
    void suspendForHandover() {
        suspendedUntilNanos = context.clock().nowNanos() + HANDOVER_TIMEOUT_NANOS;
    }

    /**
     * Sets the listed and the draining workers of the rack. Addresses of workers that are no longer listed are kept for
     * their remaining tasks.
     */
    void setWorkers(Map<WorkerId, String> listed, Set<WorkerId> draining) {
        addresses.putAll(listed);
        scheduler.setWorkers(listed.keySet(), draining);
    }

    /** Starts what is due: a scan of the rows, lease renewals, scheduling, lookups of results and commands. */
    void tick() {
        if (stopped) {
            return;
        }
        scanIfDue();
        if (!isReady() || !isOwner()) {
            return;
        }
        MembershipStatus membershipStatus = context.cluster().membershipStatus();
        if (membershipStatus == MembershipStatus.ISOLATED) {
            return;
        }
        context.cluster().configuration().ifPresent(scheduler::configure);
        scheduler.dueRenewals().forEach(this::renew);
        scheduler.tick(mode(membershipStatus));
        scheduler.dueLookups().forEach(this::lookUpResult);
        sendCommands();
    }

    /** Sends the commands that are due; called in each tick and after each commit. */
    void sendCommands() {
        MembershipStatus membershipStatus = context.cluster().membershipStatus();
        if (isReady() && membershipStatus != MembershipStatus.ISOLATED) {
            scheduler.dueCommands(mode(membershipStatus)).forEach(this::send);
        }
    }

    private static RackMode mode(MembershipStatus membershipStatus) {
        return membershipStatus == MembershipStatus.CONFIRMED ? RackMode.ACTIVE : RackMode.HOLDING;
    }

    private boolean isOwner() {
        return context.cluster().ownedEpoch(shard).equals(Optional.of(epoch));
    }

    private void renew(Renewal renewal) {
        String address = addresses.get(renewal.worker());
        context.executors().blockingCalls().execute(() -> {
            Optional<RenewResponse> response = commands.renew(address, renewal);
            runOnLoop(() -> response.ifPresentOrElse(
                    received -> scheduler.handleRenewal(renewal, received),
                    () -> scheduler.handleRenewalFailure(renewal)));
        });
    }

    private void send(WorkerCommand command) {
        String address = addresses.get(command.worker());
        context.executors().blockingCalls().execute(() -> {
            CommandOutcome outcome = commands.send(address, command);
            runOnLoop(() -> scheduler.handleOutcome(command, outcome));
        });
    }

    private void lookUpResult(ResultLookup lookup) {
        context.executors().blockingCalls().execute(() -> {
            ResultLookup.Result result = readResult(lookup);
            runOnLoop(() -> scheduler.handleLookup(lookup, result));
        });
    }

    private ResultLookup.Result readResult(ResultLookup lookup) {
        try {
            Optional<byte[]> content = context.objects().get(lookup.key());
            if (content.isEmpty()) {
                return new ResultLookup.Result.Absent();
            }
            long workDoneMs = JSON.readTree(content.get()).path("workDoneMs").asLong();
            LOG.atInfo().log("task %s finished, as its stored result shows; its worker is silent", lookup.task());
            return new ResultLookup.Result.Found(workDoneMs);
        } catch (PlatformUnavailableException | IOException e) {
            LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "result of task %s could not be read or decoded; trying again: %s", lookup.task(), e.getMessage());
            return new ResultLookup.Result.Unknown();
        }
    }

    private void runOnLoop(Runnable action) {
        context.executors().loop().execute(() -> {
            if (!stopped) {
                action.run();
            }
        });
    }

    /** Makes a scan of the rows due now; it starts once none is in flight and the membership is confirmed. */
    void requestRescan() {
        nextScanNanos = context.clock().nowNanos();
    }

    private void scanIfDue() {
        long now = context.clock().nowNanos();
        if (scanInFlight || now < nextScanNanos || context.cluster().membershipStatus() != MembershipStatus.CONFIRMED) {
            return;
        }
        scanInFlight = true;
        nextScanNanos = now + RESCAN_INTERVAL_NANOS;
        Set<TaskId> known = scheduler.rows().map(TaskRow::task).collect(Collectors.toSet());
        context.executors().blockingCalls().execute(() -> {
            try {
                RackScan scan = scanRows(known);
                runOnLoop(() -> handleScan(scan));
            } catch (PlatformUnavailableException e) {
                LOG.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                        "rows of %s could not be read: %s", shard, e.getMessage());
                runOnLoop(this::handleScanFailure);
            }
        });
    }

    /**
     * Result of a scan of the rows of a rack.
     *
     * @param shardRowVersion version of the shard row, empty if the row has another epoch
     * @param tasks task rows of the rack, without those of incomplete jobs whose rows this scan has read
     * @param cancelled cancelled jobs among those whose rows this scan has read
     */
    private record RackScan(Optional<Long> shardRowVersion, List<VersionedRow> tasks, Set<JobId> cancelled) {}

    private RackScan scanRows(Set<TaskId> known) throws PlatformUnavailableException {
        Optional<Long> version = context.table().get(rowFormat.shardKey(shard)).flatMap(this::versionIfOwned);
        List<VersionedRow> tasks = new ArrayList<>();
        String prefix = rowFormat.taskPrefix(shard);
        String after = "";
        List<Row> page;
        do {
            page = context.table().scan(prefix, after, SCAN_PAGE_ROWS);
            page.forEach(row -> tasks.add(RowFormat.readTask(row)));
            after = page.isEmpty() ? after : page.getLast().key();
        } while (page.size() == SCAN_PAGE_ROWS);
        Map<JobId, JobRow> newJobs = readNewJobs(tasks, known);
        // No task of a partly written job is run; a repeated submission completes the job.
        tasks.removeIf(task -> isIncomplete(newJobs.get(task.row().task().job())));
        Set<JobId> cancelled = newJobs.values().stream()
                .filter(JobRow::cancelled)
                .map(JobRow::id)
                .collect(Collectors.toSet());
        return new RackScan(version, tasks, cancelled);
    }

    private static boolean isIncomplete(JobRow job) {
        return job != null && !job.complete() && !job.cancelled();
    }

    private Optional<Long> versionIfOwned(Row row) {
        boolean owned = row.value().path("epoch").asLong(-1) == epoch.value();
        return owned ? Optional.of(row.version()) : Optional.empty();
    }

    /**
     * Reads the rows of the jobs of unfinished tasks that were not known before. They show whether a job is incomplete, and
     * whether it was cancelled after its tasks were moved to this rack and before this scan.
     */
    private Map<JobId, JobRow> readNewJobs(List<VersionedRow> tasks, Set<TaskId> known)
            throws PlatformUnavailableException {
        Map<JobId, JobRow> jobs = new HashMap<>();
        for (VersionedRow task : tasks) {
            JobId job = task.row().task().job();
            boolean seen = known.contains(task.row().task()) || jobs.containsKey(job);
            if (seen || task.row().state().isFinal()) {
                continue;
            }
            context.table().get(RowFormat.jobKey(job)).map(RowFormat::readJob).ifPresent(row -> jobs.put(job, row));
        }
        return jobs;
    }

    private void handleScan(RackScan scan) {
        scanInFlight = false;
        if (scan.shardRowVersion().isEmpty()) {
            nextScanNanos = context.clock().nowNanos() + SCAN_RETRY_DELAY_NANOS;
            return;
        }
        boolean first = shardRowVersion.isEmpty();
        shardRowVersion = scan.shardRowVersion();
        scheduler.load(scan.tasks());
        scan.cancelled().forEach(scheduler::cancel);
        if (first) {
            LOG.atInfo().log(
                    "scheduling %s in epoch %d with %d task rows",
                    shard, epoch.value(), scan.tasks().size());
        }
    }

    private void handleScanFailure() {
        scanInFlight = false;
        nextScanNanos = context.clock().nowNanos() + SCAN_RETRY_DELAY_NANOS;
    }

    /** Adds task rows of the rack that this node has written to the table. */
    void addTasks(List<VersionedRow> added) {
        scheduler.load(added);
    }

    /**
     * Returns the row changes for the next transaction, at most {@code maxChanges}; empty if the rack may not commit now.
     */
    List<RowChange> nextBatch(int maxChanges) {
        boolean mayCommit =
                isReady() && isOwner() && context.cluster().membershipStatus() == MembershipStatus.CONFIRMED;
        return mayCommit ? scheduler.nextBatch(maxChanges) : List.of();
    }

    /** Reads one task row again, because a conditional write of it failed. */
    void reload(TaskId task) {
        context.executors().blockingCalls().execute(() -> {
            try {
                Optional<VersionedRow> stored =
                        context.table().get(rowFormat.taskKey(shard, task)).map(RowFormat::readTask);
                runOnLoop(() -> scheduler.reload(task, stored));
            } catch (PlatformUnavailableException e) {
                LOG.atWarning().log("row of task %s could not be read: %s", task, e.getMessage());
                runOnLoop(this::requestRescan);
            }
        });
    }
}
