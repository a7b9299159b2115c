package org.tamarackline.core.fleet;

/**
 * Position up to which the ended runs of a runner were processed.
 *
 * @param processStartEpochMs process that the sequence number belongs to; each process of a runner counts from 1
 * @param lastSequenceNumber highest sequence number that was processed, 0 for none
 */
public record ProcessedEnds(long processStartEpochMs, long lastSequenceNumber) {}
