package org.tamarackline.fleet.losses;

import java.util.HashMap;
import java.util.Map;

/**
 * Events of one job, read from the logs.
 *
 * <p>The time of a job is attributed along the chain of tasks that determined its end: the task that ended last, from
 * the time when its dependencies were done; before that, the task of an earlier step that ended last before it was
 * first started, and so on.
 */
final class JobHistory {

    private static final String OPEN = "OPEN";

    private final String id;
    private final Map<String, TaskHistory> tasks = new HashMap<>();
    private String queue = "";
    private long submittedMs = Long.MAX_VALUE;
    private long lastSubmittedMs;
    private long acceptedMs = Long.MAX_VALUE;
    private long endedMs = Long.MAX_VALUE;
    private String state = OPEN;

    JobHistory(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    String queue() {
        return queue;
    }

    String state() {
        return state;
    }

    boolean submitted() {
        return submittedMs != Long.MAX_VALUE;
    }

    boolean accepted() {
        return acceptedMs != Long.MAX_VALUE;
    }

    boolean ended() {
        return endedMs != Long.MAX_VALUE;
    }

    /** Adds the next line that names the job. Lines are added in order of time. */
    void add(LogLine line) {
        switch (line.event()) {
            case "submit" -> addSubmission(line);
            case "start" -> run(line).onStartResponse(line);
            case "adopt" -> run(line).onAdopted();
            case "pace" -> run(line).onThrottled(line);
            case "end" -> run(line).onEnded(line.timeMs(), line.text("reason").equals("DONE"));
            case "job-end" -> addEnd(line);
            default -> {}
        }
    }

    private void addSubmission(LogLine line) {
        queue = line.text("queue");
        submittedMs = Math.min(submittedMs, line.timeMs());
        lastSubmittedMs = line.timeMs();
        if (line.text("answer").equals("ACCEPTED")) {
            acceptedMs = Math.min(acceptedMs, line.timeMs());
        }
    }

    private void addEnd(LogLine line) {
        if (!ended()) {
            endedMs = line.timeMs();
            state = line.text("state");
        }
    }

    private RunHistory run(LogLine line) {
        String key = line.text("task");
        return tasks.computeIfAbsent(key, name -> new TaskHistory(stepOf(name))).run(line);
    }

    /** Returns the step of a task. A task is named by job, occurrence, step and index, separated by dots. */
    private static int stepOf(String task) {
        String[] parts = task.split("\\.", -1);
        return parts.length < 2 ? 0 : Integer.parseInt(parts[parts.length - 2]);
    }

    void onRunnerLost(String runner, long timeMs) {
        tasks.values().forEach(task -> task.onRunnerLost(runner, timeMs));
    }

    /**
     * Attributes the job's time from its first submission to its end, or to its last submission if none was stored.
     *
     * @param logsEndMs end of the logs, used for a job that has not ended
     */
    TimeByCategory attribute(WaitHistory waits, long logsEndMs) {
        TimeByCategory times = new TimeByCategory();
        long toMs = ended() ? endedMs : logsEndMs;
        if (!accepted()) {
            times.add(TimeCategory.SUBMISSION, lastSubmittedMs - submittedMs);
            return times;
        }
        times.add(TimeCategory.SUBMISSION, acceptedMs - submittedMs);
        TaskHistory task = lastTask();
        while (task != null) {
            TaskHistory before = lastBefore(task);
            long readyMs = Math.min(before == null ? acceptedMs : before.doneMs(), toMs);
            task.attribute(new Span(readyMs, toMs), acceptedMs, waits, times);
            toMs = readyMs;
            task = before;
        }
        waits.attribute(new Span(acceptedMs, toMs), acceptedMs, times);
        return times;
    }

    /**
     * Returns the task that determined the job's end: the task that was done last, or among unfinished tasks the one
     * that was first started earliest.
     */
    private TaskHistory lastTask() {
        TaskHistory last = null;
        for (TaskHistory task : tasks.values()) {
            boolean earlier = last != null && task.firstStartSentMs() < last.firstStartSentMs();
            if (last == null || task.doneMs() > last.doneMs() || (!task.done() && !last.done() && earlier)) {
                last = task;
            }
        }
        return last;
    }

    private TaskHistory lastBefore(TaskHistory later) {
        TaskHistory last = null;
        for (TaskHistory task : tasks.values()) {
            boolean before = task.step() < later.step() && task.doneMs() <= later.firstStartSentMs();
            if (before && (last == null || task.doneMs() > last.doneMs())) {
                last = task;
            }
        }
        return last;
    }
}
