package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.VmDirectory;

/** Reads the VM list from the platform at a fixed interval. Not thread-safe: used by the ownership loop. */
final class VmListRefresher {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Long, because the list of 1,000 workers has about 200 KB. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(30);

    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final VmDirectory vmDirectory;
    private final RegionShards shards;
    private long dueNanos;

    VmListRefresher(MonotonicClock clock, VmDirectory vmDirectory, RegionShards shards) {
        this.clock = clock;
        this.vmDirectory = vmDirectory;
        this.shards = shards;
        dueNanos = clock.nowNanos();
    }

    /** Reads the list if the interval has passed; after a failure or an empty list, the retry interval applies. */
    void refreshIfDue() {
        long nowNanos = clock.nowNanos();
        if (nowNanos < dueNanos) {
            return;
        }
        Duration next = RETRY_INTERVAL;
        try {
            List<VmRecord> list = List.copyOf(vmDirectory.list());
            shards.setVms(list);
            next = list.isEmpty() ? RETRY_INTERVAL : REFRESH_INTERVAL;
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("VM list could not be read; retrying");
        }
        dueNanos = nowNanos + next.toNanos();
    }
}
