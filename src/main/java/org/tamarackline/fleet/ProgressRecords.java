package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.tamarackline.core.fleet.Job;

/**
 * The records of progress that the store has, so that only those are written that differ, and all of them are removed
 * once their job has ended.
 */
final class ProgressRecords {

    /** Content of a record that the store may have, but with another content. */
    private static final byte[] UNKNOWN = {};

    /**
     * Record of a chunk that is not stored as it should be.
     *
     * @param key key of the record
     * @param value content to store
     * @param finalContent whether the content no longer changes
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Change(ProgressCodec.Key key, byte[] value, boolean finalContent) {}

    @SuppressWarnings("ArrayRecordComponent")
    private record StoredRecord(byte[] value, boolean finalContent) {}

    /** Records by job and chunk. */
    private final Map<String, Map<Integer, StoredRecord>> records = new HashMap<>();
    /** Records of jobs that have ended, by job. */
    private final Map<String, Set<ProgressCodec.Key>> obsolete = new LinkedHashMap<>();

    /** Adds a record as it was read from the store. */
    void addRead(ProgressCodec.Key key, byte[] value) {
        put(key, new StoredRecord(value, false));
    }

    void addAll(ProgressRecords read) {
        records.putAll(read.records);
    }

    private void put(ProgressCodec.Key key, StoredRecord stored) {
        records.computeIfAbsent(key.job(), job -> new TreeMap<>()).put(key.chunk(), stored);
    }

    /** Returns whether the store has a record of a job that has not ended. */
    boolean contains(String job) {
        return records.containsKey(job);
    }

    /**
     * Returns the records of a job to store: those that differ from the stored ones, or else the first one, so that a
     * transaction confirms what is stored. The first chunk comes last: its record may be one of an earlier version, which
     * has the progress of all tasks.
     */
    List<Change> changesOf(Job job) {
        Map<Integer, StoredRecord> stored = records.getOrDefault(job.id(), Map.of());
        List<Change> changes = new ArrayList<>();
        for (int chunk = job.progressChunks() - 1; chunk >= 0; chunk--) {
            StoredRecord known = stored.get(chunk);
            if (known != null && known.finalContent()) {
                continue;
            }
            Change change = changeOf(job, chunk);
            boolean storedAlready = known == null
                    ? chunk > 0 && job.progressOfChunk(chunk).tasks().isEmpty()
                    : Arrays.equals(known.value(), change.value());
            if (!storedAlready) {
                changes.add(change);
            }
        }
        return changes.isEmpty() ? List.of(changeOf(job, 0)) : changes;
    }

    private static Change changeOf(Job job, int chunk) {
        byte[] value = ProgressCodec.encode(job.progressOfChunk(chunk));
        return new Change(new ProgressCodec.Key(job.id(), chunk), value, job.chunkFinal(chunk));
    }

    /** A transaction that writes a record is sent. */
    void onSent(Change change) {
        put(change.key(), new StoredRecord(UNKNOWN, false));
    }

    /** The transaction was applied. */
    void onApplied(Change change) {
        put(change.key(), new StoredRecord(change.value(), change.finalContent()));
    }

    /** The job has ended, so that its records are to be removed. */
    void markObsolete(String job) {
        Map<Integer, StoredRecord> ended = records.remove(job);
        if (ended != null) {
            Set<ProgressCodec.Key> keys = new LinkedHashSet<>();
            ended.keySet().forEach(chunk -> keys.add(new ProgressCodec.Key(job, chunk)));
            obsolete.put(job, keys);
        }
    }

    /** Same for each job that is not open. */
    void markOthersObsolete(Predicate<String> open) {
        for (String job : List.copyOf(records.keySet())) {
            if (!open.test(job)) {
                markObsolete(job);
            }
        }
    }

    /** Returns whether records of a job are still to be removed. */
    boolean hasObsolete(String job) {
        return obsolete.containsKey(job);
    }

    boolean hasObsolete() {
        return !obsolete.isEmpty();
    }

    /** Returns the records to remove. */
    List<ProgressCodec.Key> obsolete() {
        return obsolete.values().stream().flatMap(Collection::stream).toList();
    }

    /** Records that records were removed from the store. */
    void onRemoved(Collection<ProgressCodec.Key> removed) {
        for (ProgressCodec.Key key : removed) {
            Set<ProgressCodec.Key> keys = obsolete.get(key.job());
            if (keys != null && keys.remove(key) && keys.isEmpty()) {
                obsolete.remove(key.job());
            }
        }
    }
}
