package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Finds out when all earlier leaders have ended, by asking the node at each leader's address to step down.
 *
 * <p>A confirmation proves that no further command of a lower epoch will be sent from an address: the process there has
 * stopped leading, or is not the process that led. Leaders that do not confirm count as ended after {@link
 * FleetConstants#EARLIER_LEADERSHIP_EXPIRY}.
 */
final class EarlierLeaders {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    private final EventLoop loop;
    private final PeerCalls peers;
    private final LeaderRecord record;
    private final BooleanSupplier stopped;
    private final Consumer<String> onEnded;
    private final List<LeaderRecord.EarlierLeader> possiblyActiveLeaders;
    private boolean ended;
    private long endedNanos;

    /**
     * Creates an instance that sends no request before {@link #start}.
     *
     * @param record record of the leader that sends the requests
     * @param stopped whether this leader has ended, so that the responses no longer matter
     * @param onEnded receives the reason, once, when all earlier leaders have ended
     */
    EarlierLeaders(
            EventLoop loop, PeerCalls peers, LeaderRecord record, BooleanSupplier stopped, Consumer<String> onEnded) {
        this.loop = loop;
        this.peers = peers;
        this.record = record;
        this.stopped = stopped;
        this.onEnded = onEnded;
        this.possiblyActiveLeaders = new ArrayList<>(record.possiblyActive());
    }

    /**
     * Asks all leaders that may still be active to step down, and counts all of them as ended after {@link
     * FleetConstants#EARLIER_LEADERSHIP_EXPIRY}. Called at the takeover.
     */
    void start() {
        loop.schedule(FleetConstants.EARLIER_LEADERSHIP_EXPIRY, () -> {
            possiblyActiveLeaders.clear();
            reportIfAllEnded("the leadership leases of all earlier leaders have expired");
        });
        reportIfAllEnded("there are no earlier leaders");
        possiblyActiveLeaders.stream()
                .filter(LeaderRecord.EarlierLeader::hasAddress)
                .toList()
                .forEach(this::requestStepDownUntilConfirmed);
    }

    private void requestStepDownUntilConfirmed(LeaderRecord.EarlierLeader earlier) {
        if (stopped.getAsBoolean() || !possiblyActiveLeaders.contains(earlier)) {
            return;
        }
        peers.stepDown(earlier.address(), record.epoch(), steppedDown -> {
            if (steppedDown && possiblyActiveLeaders.remove(earlier)) {
                reportIfAllEnded("each has ended or stepped down");
            }
        });
        loop.schedule(RETRY_INTERVAL, () -> requestStepDownUntilConfirmed(earlier));
    }

    /** Records that all leaders with an epoch below the given one have ended. */
    void onEndedBelow(long epoch) {
        possiblyActiveLeaders.removeIf(earlier -> earlier.epoch() < epoch);
        reportIfAllEnded("the store records that all earlier leaders have ended");
    }

    private void reportIfAllEnded(String reason) {
        if (!ended && !stopped.getAsBoolean() && possiblyActiveLeaders.isEmpty()) {
            ended = true;
            endedNanos = loop.nowNanos();
            onEnded.accept(reason);
        }
    }

    /** Returns whether all earlier leaders are known to have ended. */
    boolean ended() {
        return ended;
    }

    /** Returns the time at which all earlier leaders were found to have ended; meaningful only once {@link #ended}. */
    long endedNanos() {
        return endedNanos;
    }
}
