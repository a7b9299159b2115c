package org.tamarackline.core.task;

/**
 * A task's row as read from the table.
 *
 * @param row row
 * @param version version in the table
 */
public record VersionedRow(TaskRow row, long version) {}
