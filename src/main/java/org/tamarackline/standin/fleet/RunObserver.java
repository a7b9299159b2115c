package org.tamarackline.standin.fleet;

/** Receives the starts and ends of runs on stand-in runners. Times are those of {@link System#nanoTime}. */
public interface RunObserver {

    /** Observer that does nothing. */
    RunObserver NONE = new RunObserver() {
        @Override
        public void runStarted(String runner, String task, long runNumber, long nanos) {}

        @Override
        public void runEnded(String runner, String task, long runNumber, String reason, long nanos) {}

        @Override
        public void endAcknowledged(String runner, String task, long runNumber) {}
    };

    /** A run has started. */
    void runStarted(String runner, String task, long runNumber, long nanos);

    /** A run has ended at {@code nanos}, which may be some milliseconds ago. */
    void runEnded(String runner, String task, long runNumber, String reason, long nanos);

    /** A poll has acknowledged the end of a run, and the runner's lease has not expired between the two. */
    void endAcknowledged(String runner, String task, long runNumber);
}
