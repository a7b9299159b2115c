package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;

/**
 * Renews the leases of all runners of the roster while a new leader reads the jobs. Bounds the number of polls without
 * an answer, so that a leader with little processor time does not run into their timeouts.
 */
final class InitialRenewals {

    private static final int MAX_UNANSWERED = 32;

    /** Time after which a poll without an answer no longer delays others; most of the silent runners are down. */
    private static final Duration MAX_DELAY_BY_POLL = Duration.ofMillis(150);

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final EventLoop loop;
    private List<InitialRenewal> renewals = List.of();
    private final Deque<InitialRenewal> waiting = new ArrayDeque<>();
    private int unanswered;
    private boolean stopped;

    InitialRenewals(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts to renew the leases of the runners. */
    void start(Collection<RunnerSession> sessions) {
        renewals = sessions.stream().map(RunnerSession::initialRenewal).toList();
        renewAll();
    }

    /** Stops, since the leader now polls the runners and applies their statuses. */
    void stop() {
        stopped = true;
        renewals.forEach(InitialRenewal::stop);
    }

    private void renewAll() {
        if (stopped) {
            return;
        }
        if (waiting.isEmpty()) {
            waiting.addAll(renewals);
            renewNext();
        }
        loop.schedule(INTERVAL, this::renewAll);
    }

    private void renewNext() {
        while (!stopped && unanswered < MAX_UNANSWERED && !waiting.isEmpty()) {
            Slot slot = new Slot();
            loop.schedule(MAX_DELAY_BY_POLL, slot::release);
            waiting.removeFirst().renew(slot::release);
        }
    }

    /** Share of a renewal in the bound, which it returns once. */
    private final class Slot {

        private boolean released;

        Slot() {
            unanswered++;
        }

        void release() {
            if (!released) {
                released = true;
                unanswered--;
                // Not at once, because a renewal without a poll releases its slot within the loop that started it.
                loop.execute(InitialRenewals.this::renewNext);
            }
        }
    }
}
