package org.tamarackline.entry.proxy;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.dropwizard.lifecycle.Managed;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.tamarackline.core.routing.ConnectionShare;

/** Reads the VM list at a fixed interval while the node runs, and closes the connections to upstreams at its end. */
@Singleton
public final class RunnerRefresh implements Managed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private final RunnerDirectory directory;
    private final SlotBroker broker;
    private final UpstreamClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("runner-refresh").daemon().factory());
    private volatile ScheduledFuture<?> schedule;

    /** Creates the refresh, which {@link #start} begins. */
    @Inject
    public RunnerRefresh(RunnerDirectory directory, SlotBroker broker, UpstreamClient client) {
        this.directory = directory;
        this.broker = broker;
        this.client = client;
    }

    @Override
    public void start() {
        schedule = timer.scheduleWithFixedDelay(this::refresh, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Reads the list and applies it once. A failure must not end the schedule. */
    void refresh() {
        try {
            directory.refresh();
            broker.updateRunners();
            ConnectionShare share = broker.connectionShare();
            directory.all().forEach(runner -> client.limitConnections(runner, share.of(runner)));
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("refresh of the runners failed");
        }
    }

    @Override
    public void stop() throws Exception {
        if (schedule != null) {
            schedule.cancel(false);
        }
        timer.shutdownNow();
        client.close();
    }
}
