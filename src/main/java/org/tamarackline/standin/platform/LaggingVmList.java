package org.tamarackline.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.VmEntry;

/** A list of VMs of which readers see an earlier state. Safe for use by several threads. */
final class LaggingVmList {

    private final MonotonicClock clock;
    private final Deque<State> states = new ArrayDeque<>();

    /** Creates a list; readers see {@code initial} at once, whatever the lag. */
    LaggingVmList(MonotonicClock clock, List<VmEntry> initial) {
        this.clock = clock;
        states.addLast(new State(clock.nowNanos(), List.copyOf(initial)));
    }

    synchronized void replace(List<VmEntry> entries) {
        states.addLast(new State(clock.nowNanos(), List.copyOf(entries)));
    }

    /** Returns the newest state that is at least {@code lag} old. */
    synchronized List<VmEntry> read(Duration lag) {
        long latestNanos = clock.nowNanos() - lag.toNanos();
        State visible = states.getFirst();
        for (State state : states) {
            if (state.sinceNanos() - latestNanos <= 0) {
                visible = state;
            }
        }
        return visible.entries();
    }

    private record State(long sinceNanos, List<VmEntry> entries) {}
}
