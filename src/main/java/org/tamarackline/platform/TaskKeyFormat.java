package org.tamarackline.platform;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.tamarackline.core.fleet.TaskKey;

/** Formats and parses task keys in the platform's form: job, occurrence, step and index, joined by dots. */
final class TaskKeyFormat {

    private static final Pattern FORM = Pattern.compile("([^.]{1,64})\\.(\\d{1,9})\\.(\\d{1,9})\\.(\\d{1,9})");

    private TaskKeyFormat() {}

    static String format(TaskKey task) {
        return task.toString();
    }

    /** Returns the key of the task; empty if the text is malformed. */
    static Optional<TaskKey> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new TaskKey(
                matcher.group(1),
                Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(3)),
                Integer.parseInt(matcher.group(4))));
    }
}
