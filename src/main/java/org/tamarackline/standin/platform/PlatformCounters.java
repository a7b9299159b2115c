package org.tamarackline.standin.platform;

/**
 * Calls that the platform stand-in carried out.
 *
 * @param reads reads of the table: rows, scans and tokens
 * @param writes transactions, also those rejected by a check
 * @param conflicts transactions rejected by a check
 * @param rowsWritten rows written or deleted by transactions
 * @param objectReads reads of objects
 * @param objectWrites writes and deletions of objects
 * @param vmLists reads of the list of VMs
 */
public record PlatformCounters(
        long reads, long writes, long conflicts, long rowsWritten, long objectReads, long objectWrites, long vmLists) {}
