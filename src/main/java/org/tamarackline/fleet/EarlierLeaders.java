package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Finds out when all earlier leaders have ended, by asking the nodes at their addresses to step down.
 *
 * <p>An answer proves that no further order of a lower epoch will be sent from an address: the process there has ended its
 * leader, or is another one than that which led.
 */
final class EarlierLeaders {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);

    private final EventLoop loop;
    private final PeerCalls peers;
    private final LeaderRecord record;
    private final BooleanSupplier stopped;
    private final Consumer<String> onEnded;
    private final List<LeaderRecord.EarlierLeader> possiblyActive;
    private boolean ended;
    private long endedNanos;

    /**
     * Creates an instance that asks nobody before {@link #start}.
     *
     * @param record record of the leader that asks
     * @param stopped says whether the answers no longer matter
     * @param onEnded is told once, with the reason, that all earlier leaders have ended
     */
    EarlierLeaders(
            EventLoop loop, PeerCalls peers, LeaderRecord record, BooleanSupplier stopped, Consumer<String> onEnded) {
        this.loop = loop;
        this.peers = peers;
        this.record = record;
        this.stopped = stopped;
        this.onEnded = onEnded;
        this.possiblyActive = new ArrayList<>(record.possiblyActive());
    }

    /** Asks all that may not have ended. Called at the takeover. */
    void start() {
        loop.schedule(FleetConstants.EARLIER_LEADERSHIP_EXPIRY, () -> {
            possiblyActive.clear();
            reportIfAllEnded("their authority has ended");
        });
        reportIfAllEnded("there are none");
        List.copyOf(possiblyActive).forEach(this::requestStepDown);
    }

    private void requestStepDown(LeaderRecord.EarlierLeader earlier) {
        if (stopped.getAsBoolean() || !possiblyActive.contains(earlier)) {
            return;
        }
        peers.stepDown(earlier.address(), record.epoch(), steppedDown -> {
            if (steppedDown && possiblyActive.remove(earlier)) {
                reportIfAllEnded("each has ended or stepped down");
            }
        });
        loop.schedule(RETRY_INTERVAL, () -> requestStepDown(earlier));
    }

    /** Takes note that all leaders of lower epochs than this have ended. */
    void onEndedBelow(long epoch) {
        possiblyActive.removeIf(earlier -> earlier.epoch() < epoch);
        reportIfAllEnded("an earlier leader knew that they have ended");
    }

    private void reportIfAllEnded(String reason) {
        if (!ended && !stopped.getAsBoolean() && possiblyActive.isEmpty()) {
            ended = true;
            endedNanos = loop.nowNanos();
            onEnded.accept(reason);
        }
    }

    /** Returns whether all earlier leaders are known to have ended. */
    boolean ended() {
        return ended;
    }

    /** Returns when all earlier leaders were known to have ended. */
    long endedNanos() {
        return endedNanos;
    }
}
