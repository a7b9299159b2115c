package org.tamarackline.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
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

    private static final int OPEN_JOB = 1;
    private static final int FINISHED_JOB = 2;

    private RecordCodec() {}

    private interface Body {
        void write(MessageBufferPacker packer) throws IOException;
    }

    private interface Reader<T> {
        T read(MessageUnpacker unpacker) throws IOException;
    }

    private static byte[] pack(Body body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            body.write(packer);
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException("packing into a memory buffer failed", failure);
        }
    }

    private static <T> T unpack(String key, byte[] bytes, Reader<T> reader) throws CorruptRecordException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException | IndexOutOfBoundsException failure) {
            throw new CorruptRecordException(key, failure);
        }
    }

    static byte[] encodeLeader(LeaderRecord leader) {
        return pack(packer -> {
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
        });
    }

    static byte[] encodeSequence(CommitSequence sequence) {
        return pack(packer -> {
            packer.packLong(sequence.epoch());
            packer.packLong(sequence.number());
            packer.packLong(sequence.endedBelowEpoch());
        });
    }

    static CommitSequence decodeSequence(byte[] bytes) throws CorruptRecordException {
        return unpack(CommitSequence.KEY, bytes, in -> {
            long epoch = unpackEpoch(in);
            CommitSequence sequence = new CommitSequence(epoch, in.unpackLong(), in.unpackLong());
            check(sequence.number() >= 0, "the number of a transaction is negative");
            check(sequence.endedBelowEpoch() <= epoch, "later epochs than the record's own have ended");
            return sequence;
        });
    }

    static LeaderRecord decodeLeader(byte[] bytes) throws CorruptRecordException {
        return unpack(
                LeaderRecord.KEY,
                bytes,
                in -> new LeaderRecord(
                        unpackEpoch(in),
                        in.unpackString(),
                        in.unpackString(),
                        in.unpackLong(),
                        in.unpackBoolean(),
                        unpackPossiblyActive(in)));
    }

    private static long unpackEpoch(MessageUnpacker in) throws IOException {
        long epoch = in.unpackLong();
        check(epoch >= 1 && epoch <= MAX_EPOCH, "the epoch is out of range");
        return epoch;
    }

    private static void check(boolean valid, String failure) {
        if (!valid) {
            throw new IllegalArgumentException(failure);
        }
    }

    /** Unpacks the name of a constant; the message of a failure contains nothing of the record. */
    private static <E extends Enum<E>> E unpackConstant(MessageUnpacker in, E[] constants) throws IOException {
        String name = in.unpackString();
        for (E constant : constants) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw new IllegalArgumentException("the name of a constant is not known");
    }

    private static List<LeaderRecord.EarlierLeader> unpackPossiblyActive(MessageUnpacker in) throws IOException {
        int count = in.unpackArrayHeader();
        List<LeaderRecord.EarlierLeader> possiblyActive = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            possiblyActive.add(new LeaderRecord.EarlierLeader(in.unpackLong(), in.unpackString()));
        }
        return possiblyActive;
    }

    static byte[] encodeInterferenceEstimates(Map<ImagePair, InterferenceEstimate> estimates) {
        return pack(packer -> {
            packer.packArrayHeader(estimates.size());
            for (Map.Entry<ImagePair, InterferenceEstimate> estimate : estimates.entrySet()) {
                packer.packString(estimate.getKey().latencyCritical());
                packer.packString(estimate.getKey().bestEffort());
                packer.packDouble(estimate.getValue().headroomLoss());
                packer.packDouble(estimate.getValue().variance());
            }
        });
    }

    static Map<ImagePair, InterferenceEstimate> decodeInterferenceEstimates(byte[] bytes)
            throws CorruptRecordException {
        return unpack(INTERFERENCE_ESTIMATES_KEY, bytes, in -> {
            int count = in.unpackArrayHeader();
            Map<ImagePair, InterferenceEstimate> estimates = new HashMap<>();
            for (int i = 0; i < count; i++) {
                ImagePair pair = new ImagePair(in.unpackString(), in.unpackString());
                InterferenceEstimate estimate = new InterferenceEstimate(in.unpackDouble(), in.unpackDouble());
                boolean finite = Double.isFinite(estimate.headroomLoss()) && Double.isFinite(estimate.variance());
                check(finite, "an estimate is not a finite number");
                estimates.put(pair, estimate);
            }
            return estimates;
        });
    }

    static byte[] encodeOpenJob(JobDefinition job) {
        return pack(packer -> {
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
        return pack(packer -> {
            packer.packInt(FINISHED_JOB);
            packer.packString(state.name());
            packer.packLong(endedEpochMs);
        });
    }

    /** Returns whether a key of the table of jobs can be the identifier of a job. */
    static boolean isJobId(String key) {
        return JOB_ID.matcher(key).matches();
    }

    static StoredJob decodeJob(String id, byte[] bytes) throws CorruptRecordException {
        return unpack(id, bytes, in -> {
            check(isJobId(id), "the key is not the identifier of a job");
            int kind = in.unpackInt();
            if (kind == FINISHED_JOB) {
                JobState state = unpackConstant(in, JobState.values());
                check(state.terminal(), "the state of a finished job is not final");
                return new StoredJob.Finished(id, state, in.unpackLong());
            }
            check(kind == OPEN_JOB, "the record is neither an open nor a finished job");
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

    static byte[] encodeProgress(JobProgress progress) {
        return pack(packer -> {
            packer.packInt(progress.createdOccurrences());
            packer.packArrayHeader(progress.tasks().size());
            for (JobProgress.TaskProgress task : progress.tasks()) {
                packer.packInt(task.occurrence());
                packer.packInt(task.step());
                packer.packInt(task.index());
                packer.packBoolean(task.done());
                packer.packArrayHeader(task.failedRunNumbers().size());
                for (long run : task.failedRunNumbers()) {
                    packer.packLong(run);
                }
                packer.packString(task.checkpoint());
                packer.packArrayHeader(task.runners().size());
                for (String runner : task.runners()) {
                    packer.packString(runner);
                }
            }
        });
    }

    static JobProgress decodeProgress(String id, byte[] bytes) throws CorruptRecordException {
        return unpack(id, bytes, in -> {
            int createdOccurrences = in.unpackInt();
            int count = in.unpackArrayHeader();
            List<JobProgress.TaskProgress> tasks = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                tasks.add(unpackTask(in));
            }
            return new JobProgress(createdOccurrences, tasks);
        });
    }

    private static JobProgress.TaskProgress unpackTask(MessageUnpacker in) throws IOException {
        int occurrence = in.unpackInt();
        int step = in.unpackInt();
        int index = in.unpackInt();
        boolean done = in.unpackBoolean();
        int count = in.unpackArrayHeader();
        List<Long> failedRuns = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            failedRuns.add(in.unpackLong());
        }
        String checkpoint = in.unpackString();
        int runnerCount = in.unpackArrayHeader();
        List<String> runners = new ArrayList<>();
        for (int i = 0; i < runnerCount; i++) {
            runners.add(in.unpackString());
        }
        return new JobProgress.TaskProgress(occurrence, step, index, done, failedRuns, checkpoint, runners);
    }

    /** Returns the key of a held end. */
    static String heldEndKey(HeldEnd end) {
        return HELD_END_PREFIX + end.task() + "/" + end.runNumber();
    }

    static byte[] encodeHeldEnd(HeldEnd end) {
        return pack(packer -> {
            packer.packString(end.task().job());
            packer.packInt(end.task().occurrence());
            packer.packInt(end.task().step());
            packer.packInt(end.task().index());
            packer.packLong(end.runNumber());
            packer.packString(end.reason().name());
            packer.packString(end.checkpoint());
        });
    }

    static HeldEnd decodeHeldEnd(String key, byte[] bytes) throws CorruptRecordException {
        return unpack(key, bytes, in -> {
            TaskKey task = new TaskKey(in.unpackString(), in.unpackInt(), in.unpackInt(), in.unpackInt());
            HeldEnd end = new HeldEnd(task, in.unpackLong(), unpackConstant(in, EndReason.values()), in.unpackString());
            check(heldEndKey(end).equals(key), "the key does not name the run");
            return end;
        });
    }

    static byte[] encodeRoster(RosterRecord roster) {
        RunnerDescriptor runner = roster.runner();
        return pack(packer -> {
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
        return unpack(id, bytes, in -> {
            long leaseEndStoreMs = in.unpackLong();
            check(leaseEndStoreMs >= 0, "the end of the lease is negative");
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
