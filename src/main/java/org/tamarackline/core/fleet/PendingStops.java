package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
     * @param firstNanos when the first one was sent, meaningful only if there was one
     * @param lastNanos when the last one was sent, meaningful only if there was one
     */
    private record Sent(StopCause cause, int attempts, long firstNanos, long lastNanos) {

        boolean due(long nowNanos) {
            return attempts == 0 || nowNanos - lastNanos > SchedulingLimits.STOP_RETRY_NANOS;
        }

        Sent withStopAt(long nanos) {
            return new Sent(cause, attempts + 1, attempts == 0 ? nanos : firstNanos, nanos);
        }
    }

    /** The stops of each runner that has any. */
    private final Map<FleetRunner, Map<RunKey, Sent>> stops = new LinkedHashMap<>();

    /** Requests that a run be stopped. Does nothing if that is requested already. */
    void add(FleetRunner runner, RunKey run, StopCause cause) {
        stops.computeIfAbsent(runner, key -> new LinkedHashMap<>()).putIfAbsent(run, new Sent(cause, 0, 0, 0));
    }

    /** Ends the stops of a run that is over, or that need not end. */
    void remove(FleetRunner runner, RunKey run) {
        Map<RunKey, Sent> ofRunner = stops.get(runner);
        if (ofRunner != null && ofRunner.remove(run) != null && ofRunner.isEmpty()) {
            stops.remove(runner);
        }
    }

    /** Makes the stop of a run due at once, because the process that received the last one has ended. */
    void sendAgain(FleetRunner runner, RunKey run) {
        Map<RunKey, Sent> ofRunner = stops.get(runner);
        if (ofRunner != null) {
            ofRunner.computeIfPresent(run, (key, stop) -> new Sent(stop.cause(), 0, 0, 0));
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

    /** Returns whether a runner has runs that the leader does not know and that must end. */
    boolean includeUnknownRuns(FleetRunner runner) {
        return of(runner).values().stream().anyMatch(stop -> stop.cause() == StopCause.UNKNOWN_RUN);
    }

    /** Returns when the first stop of a run was sent; empty if none was. */
    OptionalLong firstSentNanos(FleetRunner runner, RunKey run) {
        Sent stop = of(runner).get(run);
        return stop == null || stop.attempts() == 0 ? OptionalLong.empty() : OptionalLong.of(stop.firstNanos());
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
