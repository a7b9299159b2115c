package org.tamarackline.core.fleet;

import java.util.List;

import org.tamarackline.core.model.Resources;

/**
 * The definition of one step of a job: a number of equal tasks, their resources and their constraints.
 *
 * @param count number of tasks
 * @param demand resources that each task needs
 * @param estimatedDurationMs estimated duration of a task in milliseconds, 0 if unknown
 * @param dependencies positions of the steps that must be done first
 * @param checkpointed whether a task can resume from a checkpoint
 * @param gang whether the tasks must all run at the same time
 * @param sameRack whether the tasks should share a rack because they are slower on several
 * @param requiredLabel label that the runner must have, empty for none
 * @param preferredRack label of the rack that holds the data, empty for none
 * @param maxPerRunner maximum number of tasks of the step on one runner, 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image image that the tasks run; tasks of one image are taken to behave alike
 * @param latencyTargetMs bound on the tail latency of a latency-critical task in milliseconds, 0 for none
 * @param bestEffort whether the tasks use the processor time that others leave over, without a reservation
 * @param maxUnavailable number of tasks that the scheduler may stop at the same time
 */
public record StepDefinition(
        int count,
        Resources demand,
        long estimatedDurationMs,
        List<Integer> dependencies,
        boolean checkpointed,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String preferredRack,
        int maxPerRunner,
        boolean speculative,
        boolean longRunning,
        String image,
        long latencyTargetMs,
        boolean bestEffort,
        int maxUnavailable) {

    /** Copies the dependencies. */
    public StepDefinition {
        dependencies = List.copyOf(dependencies);
    }

    /** Returns the resources that a task reserves on its runner. */
    public Resources reservation() {
        return bestEffort ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }

    /**
     * Returns whether only the runner of a run reports that its task has ended; of a gang every runner does, and of a
     * speculative step the runner of each run.
     */
    boolean endKnownToOneRunner() {
        return !gang && !speculative;
    }

    /** Returns whether the tasks have a latency target, which other tasks on the runner can make them miss. */
    public boolean latencyCritical() {
        return latencyTargetMs > 0;
    }
}
