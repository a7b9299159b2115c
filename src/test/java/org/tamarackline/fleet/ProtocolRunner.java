package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;

/**
 * A runner as the platform specifies it: fencing, run numbers, numbered ends, and one lease on the runner's own clock.
 * It may restart under its identifier; the new process knows nothing of the earlier one, and its counts start anew.
 */
final class ProtocolRunner {

    /** Longest lease that a runner grants, from the arrival of a command, in milliseconds. */
    private static final long MAX_LEASE_MS = 6_000;

    /** Maximum number of ends in one status. */
    private static final int MAX_REPORTED_ENDS = 500;

    /** Number of runs that fit on a runner of the default properties; each takes one core. */
    private static final int MAX_RUNS = 4;

    /** Receives what happens to the runs of a runner. */
    interface Observer {

        void started(ProtocolRunner runner, TaskKey task, long runNumber, long epoch);

        void ended(ProtocolRunner runner, RunnerStatus.EndedRun end);

        /**
         * The runner discards an end because of an acknowledgement.
         *
         * @param leaseExpiredSinceEnd whether the lease expired between the end and the acknowledgement
         */
        void acknowledged(ProtocolRunner runner, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd);

        /** The process of the runner ended with all its runs. */
        default void processEnded(ProtocolRunner runner) {}
    }

    /**
     * How a run ends by itself.
     *
     * @param duration time from the start to the end
     * @param reason how it ends
     */
    record RunPlan(Duration duration, EndReason reason) {}

    /**
     * Properties of a runner that the platform leaves open.
     *
     * @param clockRate speed of the runner's clock, at most 1
     * @param maxReportedEnds maximum number of ends in one status
     * @param stopTime time from a stop to the end of the run
     * @param checksEpochs whether the runner rejects commands of lower epochs
     * @param leasesExpire whether runs end with the lease
     * @param stopsRuns whether stops have an effect
     * @param stopsUnknownRuns whether a stop keeps a run from starting that the runner does not have
     * @param guardsCapacity whether the runner rejects starts that do not fit
     * @param reportsStoppingRuns whether statuses contain the runs that are being stopped
     */
    record Properties(
            double clockRate,
            int maxReportedEnds,
            Duration stopTime,
            boolean checksEpochs,
            boolean leasesExpire,
            boolean stopsRuns,
            boolean stopsUnknownRuns,
            boolean guardsCapacity,
            boolean reportsStoppingRuns) {

        static final Properties DEFAULT =
                new Properties(1, MAX_REPORTED_ENDS, Duration.ZERO, true, true, true, true, true, true);

        Properties(
                double clockRate, int maxReportedEnds, Duration stopTime, boolean checksEpochs, boolean leasesExpire) {
            this(clockRate, maxReportedEnds, stopTime, checksEpochs, leasesExpire, true, true, true, true);
        }
    }

    /**
     * What tasks a process of a runner may run.
     *
     * @param service service that the runner belongs to
     * @param labels labels of the runner
     * @param rack rack of the runner, empty if unknown
     * @param maxRuns number of runs that fit on the runner
     */
    record Kind(String service, Set<String> labels, String rack, int maxRuns) {

        static final Kind DEFAULT = new Kind("dispatch", Set.of(), "", MAX_RUNS);

        Kind withMaxRuns(int runs) {
            return new Kind(service, labels, rack, runs);
        }
    }

    private record RunKey(TaskKey task, long number) {}

    private record ActiveRun(RunKey key, long startNanos, RunPlan plan) {}

    private final String id;
    private final ManualLoop loop;
    private final Observer observer;
    private final Properties properties;
    private final Map<RunKey, ActiveRun> activeRuns = new LinkedHashMap<>();
    private final Map<TaskKey, Long> highestRunNumbers = new HashMap<>();
    private final List<RunnerStatus.EndedRun> endedRuns = new ArrayList<>();
    private final Set<RunnerStatus.EndedRun> endsBeforeLeaseExpiry = new HashSet<>();
    private final List<Runnable> endListeners = new ArrayList<>();
    private final Set<RunKey> stoppingRuns = new HashSet<>();
    private Kind kind;
    private String address;
    private boolean up = true;
    private boolean draining;
    private long processStartEpochMs;
    private long processStartNanos;
    private long highestEpoch;
    private long lastEndNumber;
    private long leaseEndMs;
    private int processes = 1;

    ProtocolRunner(String id, ManualLoop loop, Observer observer) {
        this(id, id + ":80", loop, observer, Properties.DEFAULT);
    }

    ProtocolRunner(String id, String address, ManualLoop loop, Observer observer, Properties properties) {
        this(id, address, loop, observer, properties, Kind.DEFAULT);
    }

    ProtocolRunner(String id, String address, ManualLoop loop, Observer observer, Properties properties, Kind kind) {
        this.kind = kind;
        this.id = id;
        this.address = address;
        this.loop = loop;
        this.observer = observer;
        this.properties = properties;
        this.processStartNanos = loop.nowNanos();
        this.processStartEpochMs = 1 + loop.nowNanos() / 1_000_000;
    }

    String id() {
        return id;
    }

    String address() {
        return address;
    }

    RunnerDescriptor descriptor() {
        Resources capacity = new Resources(1_000L * kind.maxRuns(), 64_000, 0);
        return new RunnerDescriptor(
                id, processStartEpochMs, kind.service(), address, "dc", kind.rack(), draining, capacity, kind.labels());
    }

    /** Restarts the process. */
    void restart() {
        crash();
        boot();
    }

    /** Ends the process with all its runs. */
    void crash() {
        if (!up) {
            return;
        }
        up = false;
        activeRuns.clear();
        stoppingRuns.clear();
        highestRunNumbers.clear();
        endedRuns.clear();
        endsBeforeLeaseExpiry.clear();
        endListeners.clear();
        highestEpoch = 0;
        lastEndNumber = 0;
        leaseEndMs = 0;
        processes++;
        observer.processEnded(this);
    }

    /** Starts a new process, which knows nothing of the earlier ones. */
    void boot() {
        up = true;
        draining = false;
        processStartEpochMs = Math.max(processStartEpochMs + 1, 1 + loop.nowNanos() / 1_000_000);
        processStartNanos = loop.nowNanos();
    }

    /** Starts a new process of another kind, which may have another address. */
    void bootAs(Kind nextKind, String nextAddress) {
        kind = nextKind;
        address = nextAddress;
        boot();
    }

    /** Returns whether the runs on the process exceed its capacity. */
    boolean overCapacity() {
        return activeRuns.size() > kind.maxRuns();
    }

    /** Announces that the process will end. */
    void drain() {
        draining = true;
    }

    boolean up() {
        return up;
    }

    /** Returns the number of the current process, or of the next one if none is up. */
    int process() {
        return processes;
    }

    boolean runs(TaskKey task) {
        return activeRuns.keySet().stream().anyMatch(key -> key.task().equals(task));
    }

    private long clockMs() {
        return (long) ((loop.nowNanos() - processStartNanos) * properties.clockRate() / 1e6) + 1;
    }

    /** Returns whether the runner accepts commands of this epoch from now on. */
    boolean accepts(long epoch) {
        if (epoch < highestEpoch && properties.checksEpochs()) {
            return false;
        }
        highestEpoch = Math.max(highestEpoch, epoch);
        return true;
    }

    private void extendLease(long untilMs) {
        long untilOrMaxMs = Math.min(untilMs, clockMs() + MAX_LEASE_MS);
        if (untilOrMaxMs <= leaseEndMs) {
            return;
        }
        leaseEndMs = untilOrMaxMs;
        int process = processes;
        long remainingNanos = (long) Math.ceil((leaseEndMs - clockMs()) * 1e6 / properties.clockRate());
        loop.schedule(Duration.ofNanos(remainingNanos), () -> expireIfDue(process));
    }

    private void expireIfDue(int process) {
        if (process == processes && clockMs() >= leaseEndMs && properties.leasesExpire()) {
            endsBeforeLeaseExpiry.addAll(endedRuns);
            List.copyOf(activeRuns.values()).forEach(run -> end(run, EndReason.LEASE_EXPIRED));
        }
    }

    /** Starts a run unless it exists. */
    StartResult start(TaskKey task, long number, long epoch, long untilMs, RunPlan plan) {
        extendLease(untilMs);
        RunKey key = new RunKey(task, number);
        if (activeRuns.containsKey(key)) {
            return StartResult.STARTED;
        }
        if (leaseEndMs <= clockMs() || number <= highestRunNumbers.getOrDefault(task, 0L)) {
            return StartResult.REFUSED;
        }
        if (properties.guardsCapacity() && activeRuns.size() >= kind.maxRuns()) {
            return StartResult.NO_ROOM;
        }
        ActiveRun run = new ActiveRun(key, loop.nowNanos(), plan);
        activeRuns.put(key, run);
        observer.started(this, task, number, epoch);
        endLater(run, plan.duration(), plan.reason());
        return StartResult.STARTED;
    }

    private void endLater(ActiveRun run, Duration delay, EndReason reason) {
        int process = processes;
        loop.schedule(delay, () -> {
            if (process == processes && run.equals(activeRuns.get(run.key()))) {
                end(run, reason);
            }
        });
    }

    /** Stops a run; a run with this number or a lower one can no longer start. */
    void stop(TaskKey task, long number) {
        if (!properties.stopsRuns()) {
            return;
        }
        ActiveRun active = activeRuns.get(new RunKey(task, number));
        if (active != null || properties.stopsUnknownRuns()) {
            highestRunNumbers.merge(task, number, Math::max);
        }
        if (active != null) {
            stoppingRuns.add(active.key());
            endLater(active, properties.stopTime(), EndReason.STOPPED);
        }
    }

    /** Ends a run for a reason outside of it, if the run exists. */
    void end(TaskKey task, long number, EndReason reason) {
        ActiveRun active = activeRuns.get(new RunKey(task, number));
        if (active != null) {
            end(active, reason);
        }
    }

    private void end(ActiveRun run, EndReason reason) {
        TaskKey task = run.key().task();
        long number = run.key().number();
        activeRuns.remove(run.key());
        stoppingRuns.remove(run.key());
        highestRunNumbers.merge(task, number, Math::max);
        RunnerStatus.EndedRun end = new RunnerStatus.EndedRun(++lastEndNumber, task, number, reason, "");
        endedRuns.add(end);
        observer.ended(this, end);
        List<Runnable> listeners = List.copyOf(endListeners);
        endListeners.clear();
        listeners.forEach(Runnable::run);
    }

    /** Applies a poll: discards the acknowledged ends and extends the lease. */
    void poll(long lastAcknowledgedEnd, long untilMs) {
        for (RunnerStatus.EndedRun end : List.copyOf(endedRuns)) {
            if (end.sequenceNumber() <= lastAcknowledgedEnd) {
                endedRuns.remove(end);
                observer.acknowledged(this, end, endsBeforeLeaseExpiry.contains(end));
            }
        }
        if (untilMs > 0) {
            extendLease(untilMs);
        }
    }

    boolean hasEndedRuns() {
        return !endedRuns.isEmpty();
    }

    /** Runs an action at the next end of a run, unless the process ends before. */
    void onNextEnd(Runnable action) {
        endListeners.add(action);
    }

    RunnerStatus status() {
        List<RunnerStatus.ActiveRun> active = activeRuns.values().stream()
                .filter(run -> properties.reportsStoppingRuns() || !stoppingRuns.contains(run.key()))
                .map(this::describe)
                .toList();
        List<RunnerStatus.EndedRun> ended =
                endedRuns.subList(0, Math.min(endedRuns.size(), properties.maxReportedEnds()));
        return new RunnerStatus(processStartEpochMs, clockMs(), active, ended);
    }

    private RunnerStatus.ActiveRun describe(ActiveRun run) {
        double elapsed = loop.nowNanos() - run.startNanos();
        double progressPercent =
                Math.min(100, 100 * elapsed / run.plan().duration().toNanos());
        return new RunnerStatus.ActiveRun(run.key().task(), run.key().number(), "", progressPercent, -1);
    }
}
