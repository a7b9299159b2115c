package org.tamarackline.core.fleet;

/**
 * End of a run of a held job, which is stored on its own until the job can be loaded.
 *
 * @param task task of the run
 * @param runNumber number of the run
 * @param reason how the run ended
 * @param checkpoint last checkpoint, empty for none
 */
public record HeldEnd(TaskKey task, long runNumber, EndReason reason, String checkpoint) {

    static HeldEnd of(RunnerStatus.EndedRun end) {
        return new HeldEnd(end.task(), end.runNumber(), end.reason(), end.checkpoint());
    }
}
