package org.tamarackline.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import org.tamarackline.core.fleet.JobLimits;
import org.tamarackline.core.fleet.JobProgress;

/**
 * Encodes and decodes records of the progress of jobs: one record for each chunk of tasks.
 *
 * <p>Tasks that are done are listed as ranges. Records of earlier versions, which list them one by one and all tasks of
 * a job in one record, are still decoded.
 */
final class ProgressCodec {

    /** First field of a record; records of earlier versions begin with a number. */
    private static final String VERSION = "2";

    /** Separates the identifier of a job from the position of a chunk after the first one. */
    private static final char CHUNK_SEPARATOR = '/';

    /** Follows all keys of a job; the positions of its chunks begin with a digit. */
    private static final String KEYS_END = "/:";

    private ProgressCodec() {}

    /**
     * Identifies the record of a chunk.
     *
     * @param job identifier of the job
     * @param chunk position of the chunk, from 0
     */
    record Key(String job, int chunk) {

        /** Returns the key of the record; that of the first chunk is the identifier of the job. */
        String text() {
            return chunk == 0 ? job : job + CHUNK_SEPARATOR + chunk;
        }

        /** Parses the key of a record. */
        static Key parse(String text) throws CorruptRecordException {
            int separator = text.indexOf(CHUNK_SEPARATOR);
            if (separator < 0) {
                return new Key(text, 0);
            }
            try {
                return new Key(text.substring(0, separator), Integer.parseUnsignedInt(text.substring(separator + 1)));
            } catch (NumberFormatException malformed) {
                throw new CorruptRecordException(text, malformed);
            }
        }

        /** Returns the key before which all records of a job are; there may be records of others among them. */
        static String end(String job) {
            return job + KEYS_END;
        }
    }

    static byte[] encode(JobProgress progress) {
        List<DoneRange> doneRanges = DoneRange.of(progress.tasks());
        List<JobProgress.TaskProgress> openTasks =
                progress.tasks().stream().filter(task -> !task.done()).toList();
        return RecordFormat.pack(packer -> {
            packer.packString(VERSION);
            packer.packInt(progress.createdOccurrences());
            packer.packArrayHeader(doneRanges.size());
            for (DoneRange range : doneRanges) {
                packer.packInt(range.occurrence());
                packer.packInt(range.step());
                packer.packInt(range.firstIndex());
                packer.packInt(range.count());
            }
            packer.packArrayHeader(openTasks.size());
            for (JobProgress.TaskProgress task : openTasks) {
                packTask(packer, task);
            }
        });
    }

    private static void packTask(MessageBufferPacker packer, JobProgress.TaskProgress task) throws IOException {
        packer.packInt(task.occurrence());
        packer.packInt(task.step());
        packer.packInt(task.index());
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

    static JobProgress decode(String key, byte[] bytes) throws CorruptRecordException {
        return RecordFormat.unpack(key, bytes, in -> {
            if (in.getNextFormat().getValueType() != ValueType.STRING) {
                return decodeEarlierVersion(in);
            }
            RecordFormat.check(in.unpackString().equals(VERSION), "the version of the record is not known");
            int createdOccurrences = in.unpackInt();
            List<JobProgress.TaskProgress> tasks = new ArrayList<>();
            int rangeCount = in.unpackArrayHeader();
            for (int i = 0; i < rangeCount; i++) {
                addDoneTasks(new DoneRange(in.unpackInt(), in.unpackInt(), in.unpackInt(), in.unpackInt()), tasks);
            }
            int openCount = in.unpackArrayHeader();
            for (int i = 0; i < openCount; i++) {
                int occurrence = in.unpackInt();
                int step = in.unpackInt();
                int index = in.unpackInt();
                tasks.add(unpackTask(in, occurrence, step, index, false));
            }
            return new JobProgress(createdOccurrences, tasks);
        });
    }

    /** Adds the tasks of a range, whose length a damaged record may state as anything. */
    private static void addDoneTasks(DoneRange range, List<JobProgress.TaskProgress> tasks) {
        boolean valid = range.firstIndex() >= 0
                && range.count() >= 0
                && range.count() <= JobLimits.MAX_TASKS
                && tasks.size() + range.count() <= JobLimits.MAX_TASKS_OF_ALL_OCCURRENCES;
        RecordFormat.check(valid, "the number of tasks is out of range");
        for (int i = 0; i < range.count(); i++) {
            tasks.add(new JobProgress.TaskProgress(
                    range.occurrence(), range.step(), range.firstIndex() + i, true, List.of(), "", List.of()));
        }
    }

    private static JobProgress decodeEarlierVersion(MessageUnpacker in) throws IOException {
        int createdOccurrences = in.unpackInt();
        int count = in.unpackArrayHeader();
        List<JobProgress.TaskProgress> tasks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int occurrence = in.unpackInt();
            int step = in.unpackInt();
            int index = in.unpackInt();
            tasks.add(unpackTask(in, occurrence, step, index, in.unpackBoolean()));
        }
        return new JobProgress(createdOccurrences, tasks);
    }

    /** Unpacks what follows the position of a task, and whether it is done, in records of all versions. */
    private static JobProgress.TaskProgress unpackTask(
            MessageUnpacker in, int occurrence, int step, int index, boolean done) throws IOException {
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

    /**
     * Consecutive tasks of a step that are done.
     *
     * @param occurrence occurrence of the job, from 0
     * @param step position of the step
     * @param firstIndex position of the first task in the step
     * @param count number of tasks
     */
    private record DoneRange(int occurrence, int step, int firstIndex, int count) {

        static List<DoneRange> of(List<JobProgress.TaskProgress> tasks) {
            List<DoneRange> ranges = new ArrayList<>();
            for (JobProgress.TaskProgress task : tasks) {
                if (!task.done()) {
                    continue;
                }
                if (!ranges.isEmpty() && ranges.getLast().precedes(task)) {
                    ranges.add(ranges.removeLast().extended());
                } else {
                    ranges.add(new DoneRange(task.occurrence(), task.step(), task.index(), 1));
                }
            }
            return ranges;
        }

        private boolean precedes(JobProgress.TaskProgress task) {
            return occurrence == task.occurrence() && step == task.step() && firstIndex + count == task.index();
        }

        private DoneRange extended() {
            return new DoneRange(occurrence, step, firstIndex, count + 1);
        }
    }
}
