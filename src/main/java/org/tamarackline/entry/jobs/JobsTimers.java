package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.VmDirectory;

/** Periodic work of this package: ticks of the racks, polls of the VM list and of rack loads, and writes of the usage. */
public final class JobsTimers implements Managed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration VM_POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration USAGE_FLUSH_INTERVAL = Duration.ofSeconds(30);
    private static final Duration LOAD_POLL_INTERVAL = Duration.ofSeconds(3);

    private final JobsContext context;
    private final RackManager racks;
    private final RackLoadCache loads;
    private final VmDirectory vmDirectory;
    private final UsageTable usageTable;
    private final ScheduledExecutorService loop;
    private final List<ScheduledFuture<?>> timers = new ArrayList<>();

    @Inject
    JobsTimers(
            JobsContext context,
            RackManager racks,
            RackLoadCache loads,
            VmDirectory vmDirectory,
            UsageTable usageTable,
            @JobsLoop ScheduledExecutorService loop) {
        this.context = context;
        this.racks = racks;
        this.loads = loads;
        this.vmDirectory = vmDirectory;
        this.usageTable = usageTable;
        this.loop = loop;
    }

    @Override
    public void start() {
        schedule(context.settings().jobs().commitInterval(), racks::tick);
        schedule(VM_POLL_INTERVAL, () -> context.executors().blockingCalls().execute(this::pollVms));
        schedule(USAGE_FLUSH_INTERVAL, () -> context.executors().blockingCalls().execute(usageTable::flush));
        schedule(LOAD_POLL_INTERVAL, () -> context.executors().blockingCalls().execute(loads::refresh));
    }

    @Override
    public void stop() {
        timers.forEach(timer -> timer.cancel(false));
        loop.shutdown();
    }

    private void schedule(Duration interval, Runnable action) {
        timers.add(loop.scheduleWithFixedDelay(() -> runSafely(action), 0, interval.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Catches exceptions, because the executor would cancel a timer whose action throws. */
    private static void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("periodic action of the job timers failed");
        }
    }

    private void pollVms() {
        try {
            List<VmRecord> vms = vmDirectory.list();
            context.executors().loop().execute(() -> racks.setVms(vms));
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("VM list could not be read");
        }
    }
}
