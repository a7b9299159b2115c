package org.tamarackline.standin.platform;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.VmEntry;

/** List of VMs whose changes become visible to readers after a lag. Thread-safe. */
final class LaggingVmList {

    private final MonotonicClock clock;
    private final Deque<VmListVersion> versions = new ArrayDeque<>();

    /** Creates a list whose {@code initialEntries} are visible at once, regardless of the lag. */
    LaggingVmList(MonotonicClock clock, List<VmEntry> initialEntries) {
        this.clock = clock;
        versions.addLast(new VmListVersion(clock.nowNanos(), List.copyOf(initialEntries)));
    }

    synchronized void replace(List<VmEntry> entries) {
        versions.addLast(new VmListVersion(clock.nowNanos(), List.copyOf(entries)));
    }

    /** Returns the newest version that is at least {@code lag} old, or the oldest if there is none. */
    synchronized List<VmEntry> read(Duration lag) {
        long maxSinceNanos = clock.nowNanos() - lag.toNanos();
        VmListVersion visible = versions.getFirst();
        for (VmListVersion version : versions) {
            if (version.sinceNanos() - maxSinceNanos <= 0) {
                visible = version;
            }
        }
        return visible.entries();
    }

    private record VmListVersion(long sinceNanos, List<VmEntry> entries) {}
}
