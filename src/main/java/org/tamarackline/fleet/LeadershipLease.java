package org.tamarackline.fleet;

import java.time.InstantSource;

import org.tamarackline.core.time.MonotonicClock;

/**
 * Lease under which a leader may send commands.
 *
 * <p>The store must have confirmed the leader within {@link FleetConstants#LEADERSHIP_LEASE}. The steady clock does not
 * advance while the machine is suspended; a jump of the time of day against it therefore ends the lease until the store
 * confirms the leader again.
 */
final class LeadershipLease {

    private final MonotonicClock clock;
    private final InstantSource timeOfDay;
    private final Runnable onSuspension;
    private long confirmedNanos;
    private boolean confirmed;
    /** When the response arrived that confirmed the leader last. */
    private long confirmationReceivedNanos;

    private long clockOffsetMs;
    /** When the last suspension was noticed; requests sent before it may have been answered long ago. */
    private long suspensionNoticedNanos;

    /**
     * Creates a lease that is not confirmed.
     *
     * @param onSuspension runs when a suspension of the machine is noticed
     */
    LeadershipLease(MonotonicClock clock, InstantSource timeOfDay, Runnable onSuspension) {
        this.clock = clock;
        this.timeOfDay = timeOfDay;
        this.onSuspension = onSuspension;
        this.suspensionNoticedNanos = Long.MIN_VALUE;
        this.clockOffsetMs = currentClockOffsetMs();
    }

    /**
     * Renews the lease because the store confirmed the leader.
     *
     * @param sentNanos when the confirmed request was sent
     */
    void confirm(long sentNanos) {
        expireIfSuspended();
        if (suspensionNoticedNanos != Long.MIN_VALUE && sentNanos - suspensionNoticedNanos < 0) {
            return;
        }
        if (!confirmed || sentNanos - confirmedNanos > 0) {
            confirmedNanos = sentNanos;
            confirmed = true;
            confirmationReceivedNanos = clock.nowNanos();
        }
    }

    boolean held() {
        expireIfSuspended();
        return confirmed && clock.nowNanos() - confirmedNanos < FleetConstants.LEADERSHIP_LEASE.toNanos();
    }

    /** Returns whether the store confirmed the leader by a request sent no earlier than {@code nanos}. */
    boolean confirmedSince(long nanos) {
        return confirmed && confirmedNanos - nanos >= 0;
    }

    /** Returns when the response arrived that confirmed the leader last; meaningful only once it was confirmed. */
    long confirmationReceivedNanos() {
        return confirmationReceivedNanos;
    }

    /** Returns the time since the last confirmed request was sent, in nanoseconds. */
    long ageNanos() {
        return clock.nowNanos() - confirmedNanos;
    }

    private void expireIfSuspended() {
        if (suspendedSinceLastCheck()) {
            confirmed = false;
            suspensionNoticedNanos = clock.nowNanos();
            onSuspension.run();
        }
    }

    private boolean suspendedSinceLastCheck() {
        long now = currentClockOffsetMs();
        boolean jumped = Math.abs(now - clockOffsetMs) > FleetConstants.SUSPENSION_THRESHOLD.toMillis();
        if (jumped) {
            clockOffsetMs = now;
        }
        return jumped;
    }

    private long currentClockOffsetMs() {
        return timeOfDay.millis() - clock.nowNanos() / 1_000_000;
    }
}
