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
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.routing.ConnectionLimit;
import org.tamarackline.entry.cluster.Cluster;

/**
 * Refreshes the runners while the node runs: reads the VM list at a fixed interval and applies configuration changes. Also
 * closes the connections to upstreams when the node stops.
 */
@Singleton
public final class RunnerRefresher implements Managed {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    /** Ticks between two reads of the VM list, which makes 2 s. A new configuration is applied at the next tick. */
    private static final int TICKS_PER_REFRESH = 4;

    private final Cluster cluster;
    private final RunnerDirectory directory;
    private final RunnerGroups groups;
    private final UpstreamClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("runner-refresh").daemon().factory());
    private volatile ScheduledFuture<?> schedule;
    private int ticks;
    private long appliedConfigurationVersion;

    /** Creates the refresher; {@link #start} starts it. */
    @Inject
    public RunnerRefresher(Cluster cluster, RunnerDirectory directory, RunnerGroups groups, UpstreamClient client) {
        this.cluster = cluster;
        this.directory = directory;
        this.groups = groups;
        this.client = client;
    }

    @Override
    public void start() {
        schedule = timer.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Catches runtime exceptions, which would otherwise end the schedule. */
    private void tick() {
        try {
            long version = cluster.configuration().map(Configuration::version).orElse(0L);
            if (ticks++ % TICKS_PER_REFRESH == 0) {
                directory.refresh();
                apply();
            } else if (version != appliedConfigurationVersion) {
                directory.rebuild();
                apply();
            }
            appliedConfigurationVersion = version;
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("refreshing the runners failed");
        }
    }

    private void apply() {
        groups.updateRunners();
        ConnectionLimit limit = groups.connectionLimit();
        directory.all().forEach(runner -> client.limitConnections(runner, limit.connectionsTo(runner)));
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
