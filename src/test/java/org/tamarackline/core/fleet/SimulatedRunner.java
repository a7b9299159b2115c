package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A runner in memory, with fences, run numbers, leases and ends as the platform describes them. */
final class SimulatedRunner {

    private record Active(TaskKey task, long run, long endsAtMs, EndReason outcome) {}

    private final String id;
    private final Map<TaskKey, Active> active = new HashMap<>();
    private final Map<TaskKey, Long> highestRuns = new HashMap<>();
    private final List<RunnerListing.EndedRow> ended = new ArrayList<>();
    private long fence;
    private long ends;
    private long bornEpochMs = 1;
    private long leaseUntilMs;

    SimulatedRunner(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    long bornEpochMs() {
        return bornEpochMs;
    }

    /** Starts anew: nothing runs, and no order of before is remembered. */
    void crash() {
        active.clear();
        highestRuns.clear();
        ended.clear();
        fence = 0;
        ends = 0;
        bornEpochMs++;
        leaseUntilMs = 0;
    }

    boolean start(TaskKey task, long run, long epoch, long untilMs, long nowMs, long durationMs, EndReason outcome) {
        advance(nowMs);
        if (epoch < fence || untilMs <= nowMs) {
            return false;
        }
        fence = epoch;
        leaseUntilMs = Math.max(leaseUntilMs, untilMs);
        if (run <= highestRuns.getOrDefault(task, 0L)) {
            return active.containsKey(task) && active.get(task).run() == run;
        }
        highestRuns.put(task, run);
        active.put(task, new Active(task, run, nowMs + durationMs, outcome));
        return true;
    }

    boolean stop(TaskKey task, long run, long epoch, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        highestRuns.merge(task, run, Math::max);
        Active running = active.get(task);
        if (running != null && running.run() == run) {
            end(running, EndReason.STOPPED);
        }
        return true;
    }

    /** Returns the listing, null if the epoch is too low. */
    RunnerListing hold(long epoch, long confirmed, long untilMs, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return null;
        }
        fence = epoch;
        leaseUntilMs = Math.max(leaseUntilMs, untilMs);
        ended.removeIf(row -> row.number() <= confirmed);
        List<RunnerListing.RunningRow> running = new ArrayList<>();
        for (Active run : active.values()) {
            running.add(new RunnerListing.RunningRow(run.task(), run.run(), "", nowMs % 100, -1));
        }
        return new RunnerListing(bornEpochMs, nowMs, running, List.copyOf(ended));
    }

    boolean runs(TaskKey task, long nowMs) {
        advance(nowMs);
        return active.containsKey(task);
    }

    private void advance(long nowMs) {
        for (Active run : List.copyOf(active.values())) {
            if (run.endsAtMs() <= Math.min(nowMs, leaseUntilMs)) {
                end(run, run.outcome());
            } else if (leaseUntilMs <= nowMs) {
                end(run, EndReason.LEASE_EXPIRED);
            }
        }
    }

    private void end(Active run, EndReason reason) {
        active.remove(run.task());
        ended.add(new RunnerListing.EndedRow(++ends, run.task(), run.run(), reason, ""));
    }
}
