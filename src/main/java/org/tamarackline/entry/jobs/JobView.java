package org.tamarackline.entry.jobs;

import java.util.Map;

import org.tamarackline.core.model.JobId;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.task.ParkReason;
import org.tamarackline.core.task.TaskState;

/**
 * A job as reported to its caller.
 *
 * @param id job
 * @param team team
 * @param profile profile
 * @param tasks number of tasks
 * @param state state of the job as a whole
 * @param counts number of tasks by state
 * @param parked number of parked tasks by reason
 * @param unknown number of tasks that no owner reported
 */
public record JobView(
        JobId id,
        TeamName team,
        ProfileName profile,
        int tasks,
        State state,
        Map<TaskState, Integer> counts,
        Map<ParkReason, Integer> parked,
        int unknown) {

    /** State of a job. */
    public enum State {
        /** Not all tasks are known to have ended. */
        ACTIVE,
        /** All tasks succeeded. */
        DONE,
        /** All tasks ended and at least one failed. */
        FAILED,
        /** The caller cancelled the job before all tasks succeeded. */
        CANCELLED
    }

    /** Copies the maps. */
    public JobView {
        counts = Map.copyOf(counts);
        parked = Map.copyOf(parked);
    }

    static JobView of(JobRow job, Map<TaskState, Integer> counts, Map<ParkReason, Integer> parked) {
        int counted = counts.values().stream().mapToInt(Integer::intValue).sum();
        int unknown = Math.max(0, job.tasks() - counted);
        return new JobView(
                job.id(),
                job.spec().team(),
                job.spec().profile(),
                job.tasks(),
                stateOf(job, counts),
                counts,
                parked,
                unknown);
    }

    private static State stateOf(JobRow job, Map<TaskState, Integer> counts) {
        int done = counts.getOrDefault(TaskState.DONE, 0);
        int failed = counts.getOrDefault(TaskState.FAILED, 0);
        if (done == job.tasks()) {
            return State.DONE;
        }
        if (job.cancelled()) {
            return State.CANCELLED;
        }
        return done + failed == job.tasks() ? State.FAILED : State.ACTIVE;
    }
}
