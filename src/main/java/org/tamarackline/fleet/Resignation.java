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
    private final AttemptTimer timer;

    /** Whether {@link #onStored} has run. */
    private boolean over;

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
        this.timer = new AttemptTimer(services.loop());
    }

    void store() {
        store(false);
    }

    private void store(boolean newConnection) {
        if (ended()) {
            return;
        }
        LeaderRecord resigned = leader.record().asResigned(leader.earlierLeadersEnded(), successor.get());
        long sentNanos = services.loop().nowNanos();
        long attempt = timer.start(HedgedRead.ATTEMPT_TIMEOUT, this::repeat);
        records.replace(
                resigned,
                leader.leaderVersion(),
                FleetMetrics.TransactionPurpose.RESIGNATION,
                newConnection,
                result -> {
                    boolean latest = timer.end(attempt);
                    if (!ended()) {
                        onResult(result, sentNanos, latest);
                    }
                });
    }

    private boolean ended() {
        return over || !leading.getAsBoolean();
    }

    /** Repeats an attempt without an answer on a new connection; all require the same version, so one takes effect. */
    private void repeat() {
        if (ended()) {
            return;
        }
        if (leader.resigned()) {
            onResigned("the leader has read its resignation");
            return;
        }
        services.log().repeated("resignation-repeated", leader.record(), HedgedRead.ATTEMPT_TIMEOUT.toMillis());
        store(true);
    }

    private void onResult(RecordStore.TransactionResult result, long sentNanos, boolean latest) {
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
        if (leader.resigned()) {
            onResigned(result.toString());
        } else if (latest) {
            LeaderRecord record = leader.record();
            services.log().leadership("resignation-failed", record.epoch(), record.node(), result.toString());
            services.metrics().leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNATION_FAILED);
            boolean newConnection = result instanceof RecordStore.TransactionResult.Unknown;
            services.loop().schedule(RETRY_DELAY, () -> store(newConnection));
        }
    }

    private void onResigned(String reason) {
        over = true;
        LeaderRecord record = leader.record();
        services.log().leadership("leader-resigned", record.epoch(), record.node(), reason);
        services.metrics().leadershipChanged(FleetMetrics.LeadershipEvent.RESIGNED);
        onStored.run();
    }
}
