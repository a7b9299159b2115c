package org.tamarackline.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.HeldEnd;
import org.tamarackline.core.fleet.ImagePair;
import org.tamarackline.core.fleet.InterferenceEstimate;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobLimits;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.JobState;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.StepDefinition;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;

/**
 * Encodes and decodes the records of the store as MessagePack.
 *
 * <p>Lists are not allocated at the length that a record announces, because a damaged record may announce any.
 */
final class RecordCodec {

    /** Key of the interference estimates in the table of progress. */
    static final String INTERFERENCE_ESTIMATES_KEY = "!pairs";

    /** Start of the keys of held ends in the table of progress; the task and the number of the run follow. */
    static final String HELD_END_PREFIX = "!end/";

    /** Run numbers are multiples of the epoch, and the JSON of the runners carries no larger ones exactly. */
    static final long MAX_EPOCH = 100_000_000_000L;

    /** Task names join the identifier of their job by dots with numbers. */
    private static final Pattern JOB_ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");

    /** Largest size of the header of a list or a text. */
    private static final int LIST_HEADER_BYTES = 5;

    /** Size of the two numbers of an interference estimate. */
    private static final int ESTIMATE_BYTES = 18;

    private static final int OPEN_JOB = 1;
    private static final int FINISHED_JOB = 2;
    private static final int WITHDRAWN_JOB = 3;

    private RecordCodec() {}

    static byte[] encodeLeader(LeaderRecord leader) {
        return RecordFormat.pack(packer -> {
            packer.packLong(leader.epoch());
            packer.packString(leader.node());
            packer.packString(leader.address());
            packer.packLong(leader.incarnation());
            packer.packBoolean(leader.resigned());
            packer.packArrayHeader(leader.possiblyActive().size());
            for (LeaderRecord.EarlierLeader earlier : leader.possiblyActive()) {
                packer.packLong(earlier.epoch());
                packer.packString(earlier.address());
            }
            packer.packLong(leader.leasesLimitedSinceEpoch());
            packer.packString(leader.successor());
        });
    }

    static byte[] encodeLeaseLimit(LeaseLimitRecord limit) {
        return RecordFormat.pack(packer -> {
            packer.packLong(limit.epoch());
            packer.packLong(limit.limitStoreMs());
            packer.packInt(limit.followers());
        });
    }

    static LeaseLimitRecord decodeLeaseLimit(byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(LeaseLimitRecord.KEY, bytes, in -> {
            LeaseLimitRecord limit = new LeaseLimitRecord(unpackEpoch(in), in.unpackLong(), in.unpackInt());
            RecordFormat.check(limit.limitStoreMs() >= 0, "the limit is negative");
            return limit;
        });
    }

    static byte[] encodeSequence(CommitSequence sequence) {
        return RecordFormat.pack(packer -> {
            packer.packLong(sequence.epoch());
            packer.packLong(sequence.number());
            packer.packLong(sequence.endedBelowEpoch());
        });
    }

    static CommitSequence decodeSequence(byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(CommitSequence.KEY, bytes, in -> {
            long epoch = unpackEpoch(in);
            CommitSequence sequence = new CommitSequence(epoch, in.unpackLong(), in.unpackLong());
            RecordFormat.check(sequence.number() >= 0, "the number of a transaction is negative");
            RecordFormat.check(sequence.endedBelowEpoch() <= epoch, "later epochs than the record's own have ended");
            return sequence;
        });
    }

    static LeaderRecord decodeLeader(byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(
                LeaderRecord.KEY,
                bytes,
                in -> new LeaderRecord(
                        unpackEpoch(in),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackLong(),
                        in.unpackBoolean(),
                        unpackPossiblyActive(in),
                        in.hasNext() ? in.unpackLong() : 0,
                        in.hasNext() ? in.unpackString() : ""));
    }

    private static long unpackEpoch(MessageUnpacker in) throws IOException {
        long epoch = in.unpackLong();
        RecordFormat.check(epoch >= 1 && epoch <= MAX_EPOCH, "the epoch is out of range");
        return epoch;
    }

    private static List<LeaderRecord.EarlierLeader> unpackPossiblyActive(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        List<LeaderRecord.EarlierLeader> possiblyActive = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            possiblyActive.add(new LeaderRecord.EarlierLeader(in.unpackLong(), in.unpackString()));
        }
        return possiblyActive;
    }

    /** Encodes the estimates that fit into a record, the most certain ones first. */
    static byte[] encodeInterferenceEstimates(Map<ImagePair, InterferenceEstimate> estimates) {
        List<Map.Entry<ImagePair, InterferenceEstimate>> stored = new ArrayList<>();
        int bytes = LIST_HEADER_BYTES;
        List<Map.Entry<ImagePair, InterferenceEstimate>> byVariance = new ArrayList<>(estimates.entrySet());
        byVariance.sort(
                Comparator.comparingDouble(estimate -> estimate.getValue().variance()));
        for (Map.Entry<ImagePair, InterferenceEstimate> estimate : byVariance) {
            bytes += sizeOf(estimate.getKey().latencyCritical())
                    + sizeOf(estimate.getKey().bestEffort())
                    + ESTIMATE_BYTES;
            if (bytes > RecordStore.MAX_RECORD_BYTES) {
                break;
            }
            stored.add(estimate);
        }
        return RecordFormat.pack(packer -> {
            packer.packArrayHeader(stored.size());
            for (Map.Entry<ImagePair, InterferenceEstimate> estimate : stored) {
                packer.packString(estimate.getKey().latencyCritical());
                packer.packString(estimate.getKey().bestEffort());
                packer.packDouble(estimate.getValue().headroomLoss());
                packer.packDouble(estimate.getValue().variance());
            }
        });
    }

    /** Returns the largest size of an encoded text. */
    private static int sizeOf(String text) {
        return LIST_HEADER_BYTES + text.getBytes(StandardCharsets.UTF_8).length;
    }

    static Map<ImagePair, InterferenceEstimate> decodeInterferenceEstimates(byte[] bytes)
            throws CorruptRecordException {
        return RecordFormat.unpack(INTERFERENCE_ESTIMATES_KEY, bytes, in -> {
            int count = in.unpackArrayHeader();
            Map<ImagePair, InterferenceEstimate> estimates = new HashMap<>();
            for (int i = 0; i < count; i++) {
                ImagePair pair = new ImagePair(in.unpackString(), in.unpackString());
                InterferenceEstimate estimate = new InterferenceEstimate(in.unpackDouble(), in.unpackDouble());
                boolean finite = Double.isFinite(estimate.headroomLoss()) && Double.isFinite(estimate.variance());
                RecordFormat.check(finite, "an estimate is not a finite number");
                estimates.put(pair, estimate);
            }
            return estimates;
        });
    }

    static byte[] encodeOpenJob(JobDefinition job) {
        return RecordFormat.pack(packer -> {
            packer.packInt(OPEN_JOB);
            packer.packLong(job.acceptedEpochMs());
            packer.packInt(job.scheduledOccurrences());
            packer.packLong(job.firstDueEpochMs());
            packer.packLong(job.intervalMs());
            packer.packString(job.spec());
            packQueue(packer, job.queue());
            packer.packArrayHeader(job.steps().size());
            for (StepDefinition step : job.steps()) {
                packStep(packer, step);
            }
        });
    }

    static byte[] encodeFinishedJob(JobState state, long endedEpochMs) {
        return RecordFormat.pack(packer -> {
            packer.packInt(FINISHED_JOB);
            packer.packString(state.name());
            packer.packLong(endedEpochMs);
        });
    }

    static byte[] encodeWithdrawnJob(long withdrawnEpochMs) {
        return RecordFormat.pack(packer -> {
            packer.packInt(WITHDRAWN_JOB);
            packer.packLong(withdrawnEpochMs);
        });
    }

    /** Returns whether a key of the table of jobs can be the identifier of a job. */
    static boolean isJobId(String key) {
        return JOB_ID.matcher(key).matches();
    }

    /** Returns whether a record is that of a job that was cancelled before the store had it. */
    static boolean isWithdrawnJob(RecordStore.Entry entry) {
        try {
            return !entry.removed() && decodeJob(entry.key(), entry.value()) instanceof StoredJob.Withdrawn;
        } catch (CorruptRecordException otherRecord) {
            return false;
        }
    }

    static StoredJob decodeJob(String id, byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(id, bytes, in -> {
            RecordFormat.check(isJobId(id), "the key is not the identifier of a job");
            int kind = in.unpackInt();
            if (kind == FINISHED_JOB) {
                JobState state = RecordFormat.unpackConstant(in, JobState.values());
                RecordFormat.check(state.terminal(), "the state of a finished job is not final");
                return new StoredJob.Finished(id, state, in.unpackLong());
            }
            if (kind == WITHDRAWN_JOB) {
                return new StoredJob.Withdrawn(id, in.unpackLong());
            }
            RecordFormat.check(kind == OPEN_JOB, "the record is neither an open, a finished nor a withdrawn job");
            long acceptedEpochMs = in.unpackLong();
            int scheduledOccurrences = in.unpackInt();
            long firstDueEpochMs = in.unpackLong();
            long intervalMs = in.unpackLong();
            String spec = in.unpackString();
            QueueDefinition queue = unpackQueue(in);
            int count = in.unpackArrayHeader();
            List<StepDefinition> steps = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                steps.add(unpackStep(in));
            }
            JobDefinition job = new JobDefinition(
                    id, queue, spec, steps, scheduledOccurrences, firstDueEpochMs, intervalMs, acceptedEpochMs);
            JobLimits.check(job);
            return new StoredJob.Open(job);
        });
    }

    private static void packQueue(MessageBufferPacker packer, QueueDefinition queue) throws IOException {
        packer.packString(queue.name());
        packer.packString(queue.host());
        packer.packString(queue.pathPrefix());
        packer.packString(queue.service());
        packer.packInt(queue.priority());
        packer.packInt(queue.maxAttempts());
        packer.packDouble(queue.objectiveStretch());
        packer.packLong(queue.objectiveBaseMs());
        packer.packBoolean(queue.requiresPlacementTicket());
    }

    private static QueueDefinition unpackQueue(MessageUnpacker in) throws IOException {
        return new QueueDefinition(
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackInt(),
                in.unpackDouble(),
                in.unpackLong(),
                in.unpackBoolean());
    }

    private static void packStep(MessageBufferPacker packer, StepDefinition step) throws IOException {
        packer.packInt(step.count());
        packer.packLong(step.demand().processorMillis());
        packer.packLong(step.demand().memoryMb());
        packer.packInt(step.demand().accelerators());
        packer.packLong(step.estimatedDurationMs());
        packer.packArrayHeader(step.dependencies().size());
        for (int dependency : step.dependencies()) {
            packer.packInt(dependency);
        }
        packer.packBoolean(step.checkpointed());
        packer.packBoolean(step.gang());
        packer.packBoolean(step.sameRack());
        packer.packString(step.requiredLabel());
        packer.packString(step.preferredRack());
        packer.packInt(step.maxPerRunner());
        packer.packBoolean(step.speculative());
        packer.packBoolean(step.longRunning());
        packer.packString(step.image());
        packer.packLong(step.latencyTargetMs());
        packer.packBoolean(step.bestEffort());
        packer.packInt(step.maxUnavailable());
    }

    private static StepDefinition unpackStep(MessageUnpacker in) throws IOException {
        int count = in.unpackInt();
        Resources demand = new Resources(in.unpackLong(), in.unpackLong(), in.unpackInt());
        long estimateMs = in.unpackLong();
        int dependencyCount = in.unpackArrayHeader();
        List<Integer> dependencies = new ArrayList<>();
        for (int i = 0; i < dependencyCount; i++) {
            dependencies.add(in.unpackInt());
        }
        return new StepDefinition(
                count,
                demand,
                estimateMs,
                dependencies,
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackString(),
                in.unpackString(),
                in.unpackInt(),
                in.unpackBoolean(),
                in.unpackBoolean(),
                in.unpackString(),
                in.unpackLong(),
                in.unpackBoolean(),
                in.unpackInt());
    }

    /** Returns the key of a held end. */
    static String heldEndKey(HeldEnd end) {
        return HELD_END_PREFIX + end.task() + "/" + end.runNumber();
    }

    static byte[] encodeHeldEnd(HeldEnd end) {
        return RecordFormat.pack(packer -> {
            packer.packString(end.task().job());
            packer.packInt(end.task().occurrence());
            packer.packInt(end.task().step());
            packer.packInt(end.task().index());
            packer.packLong(end.runNumber());
            packer.packString(end.reason().name());
            packer.packString(JobProgress.storable(end.checkpoint()));
        });
    }

    static HeldEnd decodeHeldEnd(String key, byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(key, bytes, in -> {
            TaskKey task = new TaskKey(in.unpackString(), in.unpackInt(), in.unpackInt(), in.unpackInt());
            HeldEnd end = new HeldEnd(
                    task, in.unpackLong(), RecordFormat.unpackConstant(in, EndReason.values()), in.unpackString());
            RecordFormat.check(heldEndKey(end).equals(key), "the key does not name the run");
            return end;
        });
    }

    static byte[] encodeRoster(RosterRecord roster) {
        RunnerDescriptor runner = roster.runner();
        return RecordFormat.pack(packer -> {
            packer.packLong(roster.leaseEndStoreMs());
            packer.packLong(runner.processStartEpochMs());
            packer.packString(runner.service());
            packer.packString(runner.address());
            packer.packString(runner.dataCentre());
            packer.packString(runner.rack());
            packer.packLong(runner.capacity().processorMillis());
            packer.packLong(runner.capacity().memoryMb());
            packer.packInt(runner.capacity().accelerators());
            packer.packArrayHeader(runner.labels().size());
            for (String label : runner.labels()) {
                packer.packString(label);
            }
        });
    }

    static RosterRecord decodeRoster(String id, byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(id, bytes, in -> {
            long leaseEndStoreMs = in.unpackLong();
            RecordFormat.check(leaseEndStoreMs >= 0, "the end of the lease is negative");
            long processStartEpochMs = in.unpackLong();
            String service = in.unpackString();
            String address = in.unpackString();
            String dataCentre = in.unpackString();
            String rack = in.unpackString();
            Resources capacity = new Resources(in.unpackLong(), in.unpackLong(), in.unpackInt());
            int count = in.unpackArrayHeader();
            Set<String> labels = new HashSet<>();
            for (int i = 0; i < count; i++) {
                labels.add(in.unpackString());
            }
            RunnerDescriptor runner = new RunnerDescriptor(
                    id, processStartEpochMs, service, address, dataCentre, rack, false, capacity, labels);
            return new RosterRecord(runner, leaseEndStoreMs);
        });
    }
}
