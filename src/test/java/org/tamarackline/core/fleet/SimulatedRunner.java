package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An in-memory runner with fencing, run numbers, leases and ended runs as specified by the platform. */
final class SimulatedRunner {

    private record SimulatedRun(TaskKey task, long runNumber, long endsAtMs, EndReason outcome) {}

    private final String id;
    private final RepeatedStartCheck repeatedStarts;
    private final Map<TaskKey, SimulatedRun> activeRuns = new HashMap<>();
    private final Map<TaskKey, Long> highestRunNumbers = new HashMap<>();
    private final List<RunnerStatus.EndedRun> endedRuns = new ArrayList<>();
    /** Times of the ends since which the lease has not expired, by sequence number. */
    private final Map<Long, Long> endTimesMs = new HashMap<>();

    private long fence;
    private long lastSequenceNumber;
    private long processStartEpochMs = 1;
    private long leaseEndMs;

    SimulatedRunner(String id, RepeatedStartCheck repeatedStarts) {
        this.id = id;
        this.repeatedStarts = repeatedStarts;
    }

    String id() {
        return id;
    }

    long processStartEpochMs() {
        return processStartEpochMs;
    }

    /** Restarts the process: no run and no earlier command is remembered. */
    void restart() {
        activeRuns.clear();
        highestRunNumbers.clear();
        endedRuns.clear();
        endTimesMs.clear();
        fence = 0;
        lastSequenceNumber = 0;
        processStartEpochMs++;
        leaseEndMs = 0;
    }

    boolean start(
            TaskKey task,
            long runNumber,
            long epoch,
            long newLeaseEndMs,
            long nowMs,
            long durationMs,
            EndReason outcome) {
        advance(nowMs);
        if (epoch < fence || newLeaseEndMs <= nowMs) {
            return false;
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, newLeaseEndMs);
        if (runNumber <= highestRunNumbers.getOrDefault(task, 0L)) {
            return activeRuns.containsKey(task) && activeRuns.get(task).runNumber() == runNumber;
        }
        highestRunNumbers.put(task, runNumber);
        activeRuns.put(task, new SimulatedRun(task, runNumber, nowMs + durationMs, outcome));
        repeatedStarts.started(task, runNumber, epoch, id, nowMs);
        return true;
    }

    boolean stop(TaskKey task, long runNumber, long epoch, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return false;
        }
        fence = epoch;
        highestRunNumbers.merge(task, runNumber, Math::max);
        SimulatedRun running = activeRuns.get(task);
        if (running != null && running.runNumber() == runNumber) {
            end(running, EndReason.STOPPED, nowMs);
        }
        return true;
    }

    /** Renews the lease and returns the status, or null if the epoch is too low. */
    RunnerStatus poll(long epoch, long lastConfirmedEnd, long newLeaseEndMs, long nowMs) {
        advance(nowMs);
        if (epoch < fence) {
            return null;
        }
        fence = epoch;
        leaseEndMs = Math.max(leaseEndMs, newLeaseEndMs);
        discardEnds(lastConfirmedEnd);
        List<RunnerStatus.ActiveRun> reported = new ArrayList<>();
        for (SimulatedRun run : activeRuns.values()) {
            reported.add(new RunnerStatus.ActiveRun(run.task(), run.runNumber(), "", nowMs % 100, -1));
        }
        return new RunnerStatus(processStartEpochMs, nowMs, reported, List.copyOf(endedRuns));
    }

    private void discardEnds(long lastConfirmedEnd) {
        for (RunnerStatus.EndedRun end : List.copyOf(endedRuns)) {
            if (end.sequenceNumber() > lastConfirmedEnd) {
                continue;
            }
            endedRuns.remove(end);
            Long endedAtMs = endTimesMs.remove(end.sequenceNumber());
            if (endedAtMs != null && end.reason() == EndReason.DONE) {
                repeatedStarts.acknowledged(end.task(), end.runNumber(), id, endedAtMs);
            }
        }
    }

    boolean runs(TaskKey task, long nowMs) {
        advance(nowMs);
        return activeRuns.containsKey(task);
    }

    private void advance(long nowMs) {
        for (SimulatedRun run : List.copyOf(activeRuns.values())) {
            if (run.endsAtMs() <= Math.min(nowMs, leaseEndMs)) {
                end(run, run.outcome(), run.endsAtMs());
            } else if (leaseEndMs <= nowMs) {
                end(run, EndReason.LEASE_EXPIRED, leaseEndMs);
            }
        }
        if (leaseEndMs <= nowMs) {
            endTimesMs.clear();
        }
    }

    private void end(SimulatedRun run, EndReason reason, long atMs) {
        activeRuns.remove(run.task());
        endedRuns.add(new RunnerStatus.EndedRun(++lastSequenceNumber, run.task(), run.runNumber(), reason, ""));
        endTimesMs.put(lastSequenceNumber, atMs);
    }
}
