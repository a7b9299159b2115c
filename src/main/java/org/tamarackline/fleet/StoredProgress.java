package org.tamarackline.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.JobProgress;

/** The progress of jobs as read at a takeover, readable or not. */
final class StoredProgress {

    /** Progress of jobs that were accepted later. */
    static final StoredProgress NONE = new StoredProgress();

    private final Map<String, JobProgress> readable = new HashMap<>();
    private final Set<String> all = new HashSet<>();

    /** Adds a record of the table of progress. */
    void read(RecordStore.Entry entry) throws CorruptRecordException {
        all.add(entry.key());
        readable.put(entry.key(), RecordCodec.decodeProgress(entry.key(), entry.value()));
    }

    /** Returns the keys of all records. */
    Set<String> jobs() {
        return all;
    }

    /** Returns whether there is a record of a job that cannot be decoded. */
    boolean unreadable(String job) {
        return all.contains(job) && !readable.containsKey(job);
    }

    /** Returns the progress of a job, which is none if there is no record. */
    JobProgress of(JobDefinition job) throws CorruptRecordException {
        JobProgress progress = readable.getOrDefault(job.id(), JobProgress.NONE);
        check(job, progress);
        return progress;
    }

    /** Checks that a progress can be that of a job. */
    static void check(JobDefinition job, JobProgress progress) throws CorruptRecordException {
        try {
            progress.checkTasksOf(job);
        } catch (IllegalArgumentException invalid) {
            throw new CorruptRecordException(job.id(), invalid);
        }
    }

    void clear() {
        readable.clear();
        all.clear();
    }
}
