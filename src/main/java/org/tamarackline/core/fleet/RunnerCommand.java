package org.tamarackline.core.fleet;

/** A command that the leader sends to a runner. */
public sealed interface RunnerCommand {

    /** Returns the runner that receives the command. */
    FleetRunner runner();

    /**
     * Starts a run.
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
     * Stops a run, or prevents a start that is still on its way from taking effect.
     *
     * @param runner runner of the run
     * @param task task of the run
     * @param runNumber number of the run
     * @param cause why the run is stopped
     * @param attempt number of this stop among those for the run on the runner, from 1
     */
    record Stop(FleetRunner runner, TaskKey task, long runNumber, StopCause cause, int attempt)
            implements RunnerCommand {}

    /**
     * Sets the speed of a run.
     *
     * @param run the run
     * @param speedPercent fraction of full speed, 0 to 100; 0 pauses the run
     * @param previousSpeedPercent speed that was set before, {@link Run#UNKNOWN_SPEED} if unknown
     */
    record Throttle(Run run, int speedPercent, int previousSpeedPercent) implements RunnerCommand {

        private static final int FULL_SPEED_PERCENT = 100;

        /**
         * Returns whether the run changes between paused, throttled and full speed, or its previous speed is unknown.
         */
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
