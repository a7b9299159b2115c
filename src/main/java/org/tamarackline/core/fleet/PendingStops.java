package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.FleetRunner.RunKey;

/**
 * Runs that must end, or must not start any more. The stop of each is sent again at intervals until it is known that the
 * run is over: a stop may be lost, or its response, and the next status of the runner may come late.
 */
final class PendingStops {

    /**
     * Stops of one run.
     *
     * @param attempts number of stops that were sent
     * @param dueAtOnce whether the next one is due however long ago the last one was sent
     * @param lastNanos when the last one was sent, meaningful only if there was one
     */
    private record Sent(StopCause cause, int attempts, boolean dueAtOnce, long lastNanos) {

        static Sent none(StopCause cause) {
            return new Sent(cause, 0, true, 0);
        }

        boolean due(long nowNanos) {
            return dueAtOnce || nowNanos - lastNanos > SchedulingLimits.STOP_RETRY_NANOS;
        }

        Sent withStopAt(long nanos) {
            return new Sent(cause, attempts + 1, false, nanos);
        }

        Sent withCause(StopCause next) {
            return new Sent(next, attempts, dueAtOnce, lastNanos);
        }
    }

    /** The stops of each runner that has any. */
    private final Map<FleetRunner, Map<RunKey, Sent>> stops = new LinkedHashMap<>();

    /**
     * Requests that a run be stopped. If that is requested already, the stops go on as before, and those of a run that the
     * leader knows now end with the run.
     */
    void add(FleetRunner runner, RunKey run, StopCause cause) {
        stops.computeIfAbsent(runner, key -> new LinkedHashMap<>())
                .merge(
                        run,
                        Sent.none(cause),
                        (sent, added) -> cause == StopCause.KNOWN_RUN ? sent.withCause(cause) : sent);
    }

    /** Ends the stops of a run that is over, or that need not end. */
    void remove(FleetRunner runner, RunKey run) {
        Map<RunKey, Sent> ofRunner = stops.get(runner);
        if (ofRunner != null && ofRunner.remove(run) != null && ofRunner.isEmpty()) {
            stops.remove(runner);
        }
    }

    /** Ends the stops of a start that was given up and cannot take effect any more. */
    void removeUnresolvedStart(FleetRunner runner, RunKey start) {
        Sent stop = of(runner).get(start);
        if (stop != null && stop.cause() == StopCause.UNRESOLVED_START) {
            remove(runner, start);
        }
    }

    /** Makes the stop of a run due at once, because the process that received the last one has ended. */
    void sendAgain(FleetRunner runner, RunKey run) {
        Map<RunKey, Sent> ofRunner = stops.get(runner);
        if (ofRunner != null) {
            ofRunner.computeIfPresent(run, (key, stop) -> new Sent(stop.cause(), stop.attempts(), true, 0));
        }
    }

    /** Ends the stops of a runner on which nothing can run any more. */
    void removeAll(FleetRunner runner) {
        stops.remove(runner);
    }

    /** Ends the stops of those runs that the leader does not know and that the runner does not report any more. */
    void retainUnknownRuns(FleetRunner runner, Set<RunKey> reported) {
        Map<RunKey, Sent> ofRunner = stops.get(runner);
        if (ofRunner == null) {
            return;
        }
        ofRunner.entrySet()
                .removeIf(
                        stop -> stop.getValue().cause() == StopCause.UNKNOWN_RUN && !reported.contains(stop.getKey()));
        if (ofRunner.isEmpty()) {
            stops.remove(runner);
        }
    }

    private Map<RunKey, Sent> of(FleetRunner runner) {
        return stops.getOrDefault(runner, Map.of());
    }

    /** Returns the stops that are due, which count as sent now. */
    List<RunnerCommand> takeDue(long nowNanos) {
        List<RunnerCommand> due = new ArrayList<>();
        stops.forEach((runner, ofRunner) -> ofRunner.replaceAll((run, stop) -> {
            if (!stop.due(nowNanos)) {
                return stop;
            }
            Sent next = stop.withStopAt(nowNanos);
            due.add(new RunnerCommand.Stop(runner, run.task(), run.runNumber(), next.cause(), next.attempts()));
            return next;
        }));
        return due;
    }
}
