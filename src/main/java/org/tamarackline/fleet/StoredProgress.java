package org.tamarackline.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobProgress;

/** The progress of jobs as read from the store, readable or not. */
final class StoredProgress {

    /** Progress of jobs that were accepted later. */
    static final StoredProgress NONE = new StoredProgress();

    /** Progress by job and chunk. */
    private final Map<String, TreeMap<Integer, JobProgress>> readable = new HashMap<>();

    private final Set<String> unreadable = new HashSet<>();
    private final ProgressRecords records = new ProgressRecords();

    /** Adds a record of the table of progress. */
    void read(RecordStore.Entry entry) throws CorruptRecordException {
        ProgressCodec.Key key = ProgressCodec.Key.parse(entry.key());
        records.addRead(key, entry.value());
        try {
            JobProgress progress = ProgressCodec.decode(entry.key(), entry.value());
            readable.computeIfAbsent(key.job(), job -> new TreeMap<>()).put(key.chunk(), progress);
        } catch (CorruptRecordException corrupt) {
            unreadable.add(key.job());
            throw corrupt;
        }
    }

    /** Returns the records that were read, of all jobs. */
    ProgressRecords records() {
        return records;
    }

    /** Returns whether there is a record of a job that cannot be decoded. */
    boolean unreadable(String job) {
        return unreadable.contains(job);
    }

    /** Returns the progress of a job, which is none if there is no record. */
    JobProgress of(JobDefinition job) throws CorruptRecordException {
        TreeMap<Integer, JobProgress> chunks = readable.get(job.id());
        JobProgress progress = chunks == null ? JobProgress.NONE : JobProgress.join(chunks.values());
        try {
            progress.checkTasksOf(job);
        } catch (IllegalArgumentException invalid) {
            throw new CorruptRecordException(job.id(), invalid);
        }
        return progress;
    }

    void clear() {
        readable.clear();
        unreadable.clear();
    }
}
