package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that no task is started after a run of it ended as done, if that end is acknowledged before the start or later.
 * An end whose runner's lease expired before the acknowledgement does not count, because the task may have been
 * restarted by then.
 */
final class RepeatedStartCheck {

    private record Start(long runNumber, long epoch, String runner, long atMs) {}

    private record DoneEnd(long runNumber, String runner, long atMs) {}

    private final Map<TaskKey, List<Start>> starts = new HashMap<>();
    private final Map<TaskKey, List<DoneEnd>> acknowledgedEnds = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    List<String> violations() {
        return violations;
    }

    void started(TaskKey task, long runNumber, long epoch, String runner, long atMs) {
        Start start = new Start(runNumber, epoch, runner, atMs);
        starts.computeIfAbsent(task, key -> new ArrayList<>()).add(start);
        acknowledgedEnds.getOrDefault(task, List.of()).forEach(end -> compare(task, start, end));
    }

    /** The runner discards the end of a run because of an acknowledgement, and its lease has not expired since the end. */
    void acknowledged(TaskKey task, long runNumber, String runner, long endedAtMs) {
        DoneEnd end = new DoneEnd(runNumber, runner, endedAtMs);
        acknowledgedEnds.computeIfAbsent(task, key -> new ArrayList<>()).add(end);
        starts.getOrDefault(task, List.of()).forEach(start -> compare(task, start, end));
    }

    private void compare(TaskKey task, Start start, DoneEnd end) {
        if (start.atMs() > end.atMs() && start.runNumber() != end.runNumber()) {
            violations.add("%s starts after its acknowledged end: %s, %s".formatted(task, start, end));
        }
    }
}
