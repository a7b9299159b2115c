package org.tamarackline.standin.platform;

/**
 * Numbers of calls that the platform stand-in has executed since its start.
 *
 * @param reads reads of the table: rows, scans and tokens
 * @param writes transactions, including those rejected because of a version conflict
 * @param conflicts transactions rejected because of a version conflict
 * @param rowsWritten rows written or deleted by transactions
 * @param objectReads reads of objects
 * @param objectWrites writes and deletions of objects
 * @param vmLists reads of the list of VMs
 */
public record PlatformCounters(
        long reads, long writes, long conflicts, long rowsWritten, long objectReads, long objectWrites, long vmLists) {}
