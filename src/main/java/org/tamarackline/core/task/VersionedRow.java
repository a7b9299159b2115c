package org.tamarackline.core.task;

/**
 * A task's row with its version in the table, on which later writes are conditional.
 *
 * @param row row
 * @param version version of the row in the table
 */
public record VersionedRow(TaskRow row, long version) {}
