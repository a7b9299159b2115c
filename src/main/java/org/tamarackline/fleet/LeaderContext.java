package org.tamarackline.fleet;

import org.tamarackline.core.fleet.Fleet;

/**
 * Objects that the components of a leader share.
 *
 * @param loop event loop that all components run on
 * @param runnerCalls client for commands to runners
 * @param fleet jobs and runners
 * @param log decision log
 * @param metrics metrics of the node
 * @param leaseLimit limit of the leases of all runners
 */
record LeaderContext(
        EventLoop loop,
        RunnerCalls runnerCalls,
        Fleet fleet,
        DecisionLog log,
        FleetMetrics metrics,
        LeaseLimit leaseLimit) {

    /** Records the result of a transaction that stores changes of the leader. */
    void recordCommit(RecordStore.TransactionResult result, long sentNanos) {
        metrics.transactionCompleted(
                FleetMetrics.TransactionPurpose.COMMIT,
                FleetMetrics.TransactionOutcome.of(result),
                loop.nowNanos() - sentNanos);
    }
}
