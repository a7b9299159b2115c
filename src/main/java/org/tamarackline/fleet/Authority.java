package org.tamarackline.fleet;

import java.time.InstantSource;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Tells whether a leader may still give orders.
 *
 * <p>The store must have confirmed the leader within {@link FleetLimits#AUTHORITY}. The steady clock does not count a
 * suspension of the machine; a jump of the time of day against it therefore ends the authority until the store confirms
 * it again.
 */
final class Authority {

    private final MonotonicClock clock;
    private final InstantSource timeOfDay;
    private final Runnable onSuspension;
    private long confirmedNanos;
    private boolean confirmed;
    private long offsetMs;
    /** When the last suspension was noticed; requests sent before it may have been answered long ago. */
    private long noticedNanos;

    /**
     * Creates an authority that is not confirmed.
     *
     * @param onSuspension runs when a suspension of the machine is noticed
     */
    Authority(MonotonicClock clock, InstantSource timeOfDay, Runnable onSuspension) {
        this.clock = clock;
        this.timeOfDay = timeOfDay;
        this.onSuspension = onSuspension;
        this.noticedNanos = Long.MIN_VALUE;
        this.offsetMs = currentOffsetMs();
    }

    /**
     * Takes note that the store confirmed the leader.
     *
     * @param sentNanos when the confirmed request was sent
     */
    void confirm(long sentNanos) {
        endIfSuspended();
        if (noticedNanos != Long.MIN_VALUE && sentNanos - noticedNanos < 0) {
            return;
        }
        if (!confirmed || sentNanos - confirmedNanos > 0) {
            confirmedNanos = sentNanos;
            confirmed = true;
        }
    }

    boolean held() {
        endIfSuspended();
        return confirmed && clock.nowNanos() - confirmedNanos < FleetLimits.AUTHORITY.toNanos();
    }

    /** Returns whether the store confirmed the leader by a request sent after {@code nanos}. */
    boolean confirmedAfter(long nanos) {
        return confirmed && confirmedNanos - nanos > 0;
    }

    /** Returns the time since the last confirmation in milliseconds. */
    long ageMs() {
        return (clock.nowNanos() - confirmedNanos) / 1_000_000;
    }

    private void endIfSuspended() {
        if (suspendedSinceLastLook()) {
            confirmed = false;
            noticedNanos = clock.nowNanos();
            onSuspension.run();
        }
    }

    private boolean suspendedSinceLastLook() {
        long now = currentOffsetMs();
        boolean jumped = Math.abs(now - offsetMs) > FleetLimits.SUSPENSION_THRESHOLD.toMillis();
        if (jumped) {
            offsetMs = now;
        }
        return jumped;
    }

    private long currentOffsetMs() {
        return timeOfDay.millis() - clock.nowNanos() / 1_000_000;
    }
}
