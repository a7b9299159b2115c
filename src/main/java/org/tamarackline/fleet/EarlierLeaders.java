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

    private static final Duration REPEAT = Duration.ofMillis(300);

    private final EventLoop loop;
    private final PeerCalls peers;
    private final LeaderRecord record;
    private final BooleanSupplier stopped;
    private final Consumer<String> onEnded;
    private final List<LeaderRecord.Earlier> unsettled;
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
        this.unsettled = new ArrayList<>(record.unsettled());
    }

    /** Asks all that may not have ended. Called at the takeover. */
    void start() {
        loop.schedule(FleetLimits.EARLIER_LEADERSHIP_EXPIRY, () -> {
            unsettled.clear();
            noteSettled("their authority has ended");
        });
        noteSettled("there are none");
        List.copyOf(unsettled).forEach(this::ask);
    }

    private void ask(LeaderRecord.Earlier earlier) {
        if (stopped.getAsBoolean() || !unsettled.contains(earlier)) {
            return;
        }
        peers.stepDown(earlier.address(), record.epoch(), answered -> {
            if (answered && unsettled.remove(earlier)) {
                noteSettled("each has ended or stepped down");
            }
        });
        loop.schedule(REPEAT, () -> ask(earlier));
    }

    /** Takes note that all leaders of lower epochs than this have ended. */
    void endedBelow(long epoch) {
        unsettled.removeIf(earlier -> earlier.epoch() < epoch);
        noteSettled("an earlier leader knew that they have ended");
    }

    private void noteSettled(String reason) {
        if (!ended && !stopped.getAsBoolean() && unsettled.isEmpty()) {
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
