package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.FleetRunner.RunKey;

/**
 * The starts sent to one runner of which an attempt has no response. Until {@link
 * SchedulingLimits#MAX_COMMAND_DELAY_NANOS} after it was sent, such an attempt may still be executed, by whichever process
 * of the runner is up then.
 *
 * <p>A process rejects the start of a run that it has stopped or whose end it has listed. The next process of the runner
 * does not know of that, so the run has to be stopped there too.
 */
final class UnansweredStarts {

    /** Value of {@link Start#rejectingProcess} while no process is known to reject the start. */
    private static final long NO_PROCESS = -1;

    /** The attempts to start one run. */
    private static final class Start {

        private int attempts;
        /** When the last attempt was sent, or when the runner was reached again after the start was given up. */
        private long possibleSinceNanos;
        /** Whether the start was given up with the runner, which has not been reached since. */
        private boolean awaitsContact;
        /** Start time of the process that rejects the start, in milliseconds since 1970. */
        private long rejectingProcess = NO_PROCESS;

        private boolean possible(long nowNanos) {
            return awaitsContact || nowNanos - possibleSinceNanos <= SchedulingLimits.MAX_COMMAND_DELAY_NANOS;
        }

        private boolean possibleOn(long process, long nowNanos) {
            return rejectingProcess != process && possible(nowNanos);
        }
    }

    private final Map<RunKey, Start> starts = new HashMap<>();
    /** Starts that were given up and have to be stopped on the runner's process. */
    private final Set<RunKey> toStop = new LinkedHashSet<>();

    /** Records that an attempt to start a run is sent. */
    void onSent(RunKey run, long nowNanos) {
        starts.values().removeIf(start -> !start.possible(nowNanos));
        Start start = starts.computeIfAbsent(run, key -> new Start());
        start.attempts++;
        start.possibleSinceNanos = nowNanos;
    }

    /** Records that all attempts to start a run have been answered, so that none is executed later. */
    void onAllAnswered(RunKey run) {
        starts.remove(run);
        toStop.remove(run);
    }

    /** Records that a process has the run, which only a second attempt may start again. */
    void onRunning(RunKey run) {
        if (!toStop.contains(run)) {
            removeOnlyAttempt(run);
        }
    }

    /** Records that a process has listed the end of a run; returns whether the run was to be stopped. */
    boolean onEnded(RunKey run, long process) {
        removeOnlyAttempt(run);
        return onRejectedBy(run, process);
    }

    private void removeOnlyAttempt(RunKey run) {
        Start start = starts.get(run);
        if (start != null && start.attempts == 1) {
            starts.remove(run);
        }
    }

    /** Records that a process rejects the start of a run from now on; returns whether the run was to be stopped. */
    boolean onRejectedBy(RunKey run, long process) {
        Start start = starts.get(run);
        if (start != null) {
            start.rejectingProcess = process;
        }
        return toStop.remove(run);
    }

    /** Gives up the starts that the last process of a lost runner does not reject. */
    void onRunnerLost(long lastProcess, long nowNanos) {
        starts.forEach((run, start) -> {
            if (start.possibleOn(lastProcess, nowNanos) && toStop.add(run)) {
                start.awaitsContact = true;
            }
        });
    }

    /**
     * Updates which starts have to be stopped, now that a process has answered, and returns those that no longer have to.
     *
     * @param wanted runs whose starts have not been given up
     */
    List<RunKey> onProcessAnswered(long process, Set<RunKey> wanted, long nowNanos) {
        if (starts.isEmpty() && toStop.isEmpty()) {
            return List.of();
        }
        starts.forEach((run, start) -> {
            if (start.awaitsContact) {
                start.awaitsContact = false;
                start.possibleSinceNanos = nowNanos;
            }
            if (start.possibleOn(process, nowNanos) && !wanted.contains(run)) {
                toStop.add(run);
            }
        });
        List<RunKey> over = toStop.stream()
                .filter(run -> !mayStartOn(process, run, nowNanos))
                .toList();
        over.forEach(toStop::remove);
        starts.values().removeIf(start -> !start.possible(nowNanos));
        return over;
    }

    /** Returns whether a process of the runner may still execute the start of a run. */
    boolean mayStartOn(long process, RunKey run, long nowNanos) {
        Start start = starts.get(run);
        return start != null && start.possibleOn(process, nowNanos);
    }

    /** Returns the starts that were given up and have to be stopped on the runner's process. */
    Set<RunKey> toStop() {
        return toStop;
    }

    /** Returns whether some process of the runner may still execute a start. */
    boolean anyPossible(long nowNanos) {
        return starts.values().stream().anyMatch(start -> start.possible(nowNanos));
    }
}
