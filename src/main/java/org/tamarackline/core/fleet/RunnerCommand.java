package org.tamarackline.core.fleet;

/** Something that the leader must tell a runner. */
public sealed interface RunnerCommand {

    /** Returns the runner that the order is for. */
    FleetRunner runner();

    /**
     * Starts a task.
     *
     * @param run the run to start
     */
    record Start(Run run) implements RunnerCommand {
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
     * @param runNumber number of the run
     */
    record Stop(FleetRunner runner, TaskKey task, long runNumber) implements RunnerCommand {}

    /**
     * Sets the speed of a run.
     *
     * @param run the run
     * @param speedPercent share of full speed, 0 to 100
     * @param previousSpeedPercent share that was ordered before, {@link Run#UNKNOWN_SPEED} if that is not known
     */
    record Throttle(Run run, int speedPercent, int previousSpeedPercent) implements RunnerCommand {

        private static final int FULL_SPEED_PERCENT = 100;

        /** Returns whether the run begins to wait, to work slowly or to work at full speed, not only faster or slower. */
        public boolean changesSpeedState() {
            return speedPercent == 0
                    || previousSpeedPercent <= 0
                    || (speedPercent == FULL_SPEED_PERCENT) != (previousSpeedPercent == FULL_SPEED_PERCENT);
        }

        @Override
        public FleetRunner runner() {
            return run.runner();
        }
    }
}
