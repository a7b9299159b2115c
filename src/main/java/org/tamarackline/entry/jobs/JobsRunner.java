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

/** The timers of this package: the steps of the racks, the VM list and the loads of other nodes. */
public final class JobsRunner implements Managed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration VM_POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration USAGE_INTERVAL = Duration.ofSeconds(30);
    private static final Duration LOAD_POLL_INTERVAL = Duration.ofSeconds(3);

    private final JobsContext context;
    private final RackManager racks;
    private final RackLoads loads;
    private final VmDirectory vms;
    private final UsageTable usage;
    private final ScheduledExecutorService loop;
    private final List<ScheduledFuture<?>> timers = new ArrayList<>();

    @Inject
    JobsRunner(
            JobsContext context,
            RackManager racks,
            RackLoads loads,
            VmDirectory vms,
            UsageTable usage,
            @JobsLoop ScheduledExecutorService loop) {
        this.context = context;
        this.racks = racks;
        this.loads = loads;
        this.vms = vms;
        this.usage = usage;
        this.loop = loop;
    }

    @Override
    public void start() {
        repeat(context.settings().jobs().commitInterval(), racks::tick);
        repeat(VM_POLL_INTERVAL, () -> context.threads().calls().execute(this::pollVms));
        repeat(USAGE_INTERVAL, () -> context.threads().calls().execute(usage::flush));
        repeat(LOAD_POLL_INTERVAL, () -> context.threads().calls().execute(loads::refresh));
    }

    @Override
    public void stop() {
        timers.forEach(timer -> timer.cancel(false));
        loop.shutdown();
    }

    private void repeat(Duration interval, Runnable action) {
        timers.add(loop.scheduleWithFixedDelay(() -> runSafely(action), 0, interval.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** A timer whose action throws would never run again. */
    private static void runSafely(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("a timer of the jobs failed");
        }
    }

    private void pollVms() {
        try {
            List<VmRecord> listed = vms.list();
            context.threads().loop().execute(() -> racks.setVms(listed));
        } catch (PlatformUnavailableException e) {
            LOG.atFine().withCause(e).log("the VM list could not be read");
        }
    }
}
