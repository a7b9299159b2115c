package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.TaskKey;

/**
 * Checks when the runs of the cancelled jobs of a {@link ClusterSimulation} end, and that none is started later.
 *
 * <p>The bound counts from the answer to the cancellation and holds at each moment that is calm; after a fault it counts
 * anew from the time at which the fault is over and the cluster has settled.
 */
final class CancelledJobs {

    /** Longest time that a simulated runner takes to end a run that it is told to stop. */
    static final Duration MAX_STOP_TIME = Duration.ofMillis(300);

    /** Time after the answer to a cancellation in which starts may still be sent and stops may still be due. */
    private static final Duration CANCELLATION_TIME = Duration.ofSeconds(3);

    /** Time since the last fault began or ended after which the cluster counts as calm. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(4);

    /** Time between the sending of a start and its effect from which the start was held up. */
    private static final Duration LATE_START_TIME = Duration.ofSeconds(1);

    private static final long NANOS_PER_MS = 1_000_000;

    private final ManualLoop loop;
    private final NodeContacts contacts;
    private final RunHistory history;
    private final SimulatedCallers callers;
    private final Set<RunHistory.LiveRun> reported = new HashSet<>();
    private long lastFaultNanos;

    CancelledJobs(ManualLoop loop, NodeContacts contacts, RunHistory history, SimulatedCallers callers) {
        this.loop = loop;
        this.contacts = contacts;
        this.history = history;
        this.callers = callers;
    }

    /** A fault begins or ends, or is in effect. */
    void disturbed() {
        lastFaultNanos = loop.nowNanos();
    }

    /** A node sends a start; the bound holds under faults too, if the node itself reaches the store. */
    void onStartSent(SimulatedNode node, TaskKey task, long runNumber) {
        Long cancelledNanos = callers.cancelledNanos().get(task.job());
        boolean late = cancelledNanos != null && loop.nowNanos() - cancelledNanos > CANCELLATION_TIME.toNanos();
        if (late && contacts.inTouch(node)) {
            history.report(
                    RunHistory.Rule.CANCELLED_JOB_STARTED,
                    task.toString(),
                    "run %d is sent by %s, the cancellation was answered at %d ms"
                            .formatted(runNumber, node.name(), cancelledNanos / NANOS_PER_MS));
        }
    }

    /** Checks the runs of all cancelled jobs; to be called at short intervals. */
    void check() {
        long settledNanos = lastFaultNanos + SETTLING_TIME.toNanos();
        if (loop.nowNanos() < settledNanos) {
            return;
        }
        callers.cancelledNanos().forEach((id, cancelledNanos) -> {
            JobDefinition job = callers.submitted().get(id);
            for (TaskKey task : RunHistory.tasksOf(job)) {
                for (RunHistory.LiveRun run : history.liveRuns(task)) {
                    check(run, cancelledNanos, Math.max(cancelledNanos, settledNanos));
                }
            }
        });
    }

    private void check(RunHistory.LiveRun run, long cancelledNanos, long fromNanos) {
        long dueNanos = Math.max(fromNanos, knownNanos(run))
                + CANCELLATION_TIME.plus(MAX_STOP_TIME).toNanos();
        if (loop.nowNanos() > dueNanos && reported.add(run)) {
            history.report(
                    RunHistory.Rule.CANCELLED_JOB_RUNS_ON,
                    run.task().toString(),
                    "run %d of epoch %d on %s, started at %d ms; cancellation answered at %d ms, last fault at %d ms"
                            .formatted(
                                    run.number(),
                                    run.epoch(),
                                    run.runner(),
                                    run.startNanos() / NANOS_PER_MS,
                                    cancelledNanos / NANOS_PER_MS,
                                    lastFaultNanos / NANOS_PER_MS));
        }
    }

    /** Returns when the cluster may first know of a run whose start was held up, 0 for other runs. */
    private static long knownNanos(RunHistory.LiveRun run) {
        boolean late = run.startNanos() - run.sentNanos() > LATE_START_TIME.toNanos();
        return late ? run.startNanos() + SETTLING_TIME.toNanos() : 0;
    }
}
