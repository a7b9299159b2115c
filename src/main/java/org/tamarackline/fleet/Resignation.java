package org.tamarackline.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Stores the resignation of a leader, and repeats that until it is stored or the leader has ended. */
final class Resignation {

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final NodeServices services;
    private final LeaderRecordStore records;
    private final Leader leader;
    private final BooleanSupplier leading;
    private final Supplier<Optional<String>> successor;
    private final Runnable onStored;

    /**
     * Creates a resignation; {@link #store} stores it.
     *
     * @param leading whether the leader has not ended
     * @param successor returns the node that should take over, empty if none is known
     * @param onStored runs once the resignation is stored, unless the leader has ended before
     */
    Resignation(
            NodeServices services,
            LeaderRecordStore records,
            Leader leader,
            BooleanSupplier leading,
            Supplier<Optional<String>> successor,
            Runnable onStored) {
        this.services = services;
        this.records = records;
        this.leader = leader;
        this.leading = leading;
        this.successor = successor;
        this.onStored = onStored;
    }

    void store() {
        if (!leading.getAsBoolean()) {
            return;
        }
        LeaderRecord resigned = leader.record().asResigned(leader.earlierLeadersEnded(), successor.get());
        long sentNanos = services.loop().nowNanos();
        records.replace(resigned, leader.leaderVersion(), FleetMetrics.TransactionPurpose.RESIGNATION, result -> {
            if (leading.getAsBoolean()) {
                onResult(result, sentNanos);
            }
        });
    }

    private void onResult(RecordStore.TransactionResult result, long sentNanos) {
        switch (result) {
            case RecordStore.TransactionResult.Applied applied -> {
                leader.onLeadershipConfirmed(sentNanos);
                leader.onResignationStored();
            }
            case RecordStore.TransactionResult.Conflict conflict ->
                conflict.current().forEach(leader::onLeaderRecordChanged);
            default -> {}
        }
        if (!leading.getAsBoolean()) {
            return;
        }
        LeaderRecord record = leader.record();
        if (leader.resigned()) {
            services.log().leadership("leader-resigned", record.epoch(), record.node(), result.toString());
            services.metrics().leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNED);
            onStored.run();
        } else {
            services.log().leadership("resignation-failed", record.epoch(), record.node(), result.toString());
            services.metrics().leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNATION_FAILED);
            services.loop().schedule(RETRY_DELAY, this::store);
        }
    }
}
