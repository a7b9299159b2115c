package org.tamarackline.core.fleet;

/** Something that the leader must tell a runner. */
public sealed interface Order {

    /** Returns the runner that the order is for. */
    FleetRunner runner();

    /**
     * Starts a task.
     *
     * @param run the run to start
     */
    record Start(Run run) implements Order {
        @Override
        public FleetRunner runner() {
            return run.runner();
        }
    }

    /**
     * Stops a run, or keeps one that may still arrive from starting.
     *
     * @param runner runner of the run
     * @param task task that runs
     * @param run number of the run
     */
    record Stop(FleetRunner runner, TaskKey task, long run) implements Order {}

    /**
     * Sets the speed of a run.
     *
     * @param run the run
     * @param percent share of full speed, 0 to 100
     */
    record Pace(Run run, int percent) implements Order {
        @Override
        public FleetRunner runner() {
            return run.runner();
        }
    }
}
