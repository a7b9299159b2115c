package org.tamarackline.platform;

import java.util.Optional;

import org.tamarackline.core.fleet.TaskKey;

/** Formats and parses task keys in the platform's form: job, occurrence, step and index, joined by dots. */
final class TaskKeyFormat {

    private static final int PART_COUNT = 4;

    private TaskKeyFormat() {}

    static String format(TaskKey task) {
        return task.toString();
    }

    /** Returns the key of the task; empty if the text is malformed. */
    static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PART_COUNT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskKey(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
