package org.tamarackline.core.fleet;

import java.util.List;

import org.tamarackline.core.model.Resources;

/**
 * What a caller asked for in one step of a job.
 *
 * @param count number of tasks
 * @param demand what each task needs
 * @param estimatedDurationMs rough duration of a task in milliseconds, 0 if unknown
 * @param dependencies positions of the steps that must be done first
 * @param checkpointed whether a task can resume from a checkpoint
 * @param gang whether the tasks only work together
 * @param sameRack whether the tasks are slower on more than one rack
 * @param requiredLabel label that the runner must have, empty for none
 * @param preferredRack label of the rack that holds the data, empty for none
 * @param maxPerRunner most tasks of the step on one runner, 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param latencyTargetMs bound on the tail latency of a serving task in milliseconds, 0 for none
 * @param bestEffort whether the tasks use the processor time that others leave over, instead of a reserved share
 * @param maxUnavailable number of tasks that the scheduler may take away at a time
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

    /** Creates a step that later changes of the arguments do not affect. */
    public StepDefinition {
        dependencies = List.copyOf(dependencies);
    }

    /** Returns what a task takes from the capacity of its runner. */
    public Resources reservation() {
        return bestEffort ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }

    /** Returns whether the tasks serve users of their own, whose latency others on the runner can harm. */
    public boolean latencyCritical() {
        return latencyTargetMs > 0;
    }
}
