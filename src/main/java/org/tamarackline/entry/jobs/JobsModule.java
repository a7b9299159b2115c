package org.tamarackline.entry.jobs;

import java.security.SecureRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.core.usage.RequestUsageRecorder;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTracker;
import org.tamarackline.entry.CallerApi;
import org.tamarackline.entry.StateDump;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessageType;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;
import org.tamarackline.worker.HttpWorkerGateway;
import org.tamarackline.worker.WorkerGateway;

/**
 * Guice module of the HTTP interface of jobs and of the scheduling of their tasks.
 *
 * <p>Requires bindings of {@link Cluster}, {@link TableStore}, {@code ObjectStore}, {@code VmDirectory}, {@link PeerCaller},
 * {@link EntrySettings} and {@link MonotonicClock}.
 */
public final class JobsModule extends AbstractModule {

    @Override
    protected void configure() {
        bind(JobService.class).in(Singleton.class);
        bind(JobMessageHandler.class).in(Singleton.class);
        bind(RackOwnerClient.class).in(Singleton.class);
        bind(JobsTimers.class).in(Singleton.class);
        bind(JobResource.class).in(Singleton.class);
        bind(UsageSource.class).to(UsageAggregator.class).in(Singleton.class);
        Multibinder.newSetBinder(binder(), Object.class, CallerApi.class)
                .addBinding()
                .to(JobResource.class);
        Multibinder.newSetBinder(binder(), PeerHandler.class).addBinding().to(JobMessageHandler.class);
        Multibinder.newSetBinder(binder(), OwnershipListener.class).addBinding().to(RackManager.class);
        Multibinder.newSetBinder(binder(), StateDump.class).addBinding().to(JobsDump.class);
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(JobsTimers.class);
        Multibinder<PeerMessageType> types = Multibinder.newSetBinder(binder(), PeerMessageType.class);
        JobMessages.TYPES.forEach(type -> types.addBinding().toInstance(type));
    }

    @Provides
    @Singleton
    @JobsLoop
    ScheduledExecutorService loop() {
        return Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().name("jobs-loop").daemon().factory());
    }

    @Provides
    @Singleton
    WorkerGateway workerGateway(EntrySettings settings) {
        return new HttpWorkerGateway(settings.cluster().requestTimeout());
    }

    @Provides
    @Singleton
    JobExecutors executors(@JobsLoop ScheduledExecutorService loop) {
        return new JobExecutors(
                loop, action -> Thread.ofVirtual().name("jobs-call").start(action));
    }

    @Provides
    @Singleton
    JobStores stores(TableStore table, ObjectStore objects) {
        return new JobStores(table, objects);
    }

    @Provides
    @Singleton
    JobsContext context(
            Cluster cluster,
            JobStores stores,
            WorkerGateway gateway,
            PeerCaller peers,
            EntrySettings settings,
            MonotonicClock clock,
            JobExecutors executors) {
        return new JobsContext(cluster, stores, gateway, peers, settings, clock, executors);
    }

    @Provides
    @Singleton
    UsageTracker usageTracker() {
        return new UsageTracker();
    }

    @Provides
    RequestUsageRecorder requestUsageRecorder(UsageTracker tracker) {
        return tracker::recordRequest;
    }

    @Provides
    @Singleton
    UsageTable usageTable(TableStore table, UsageTracker tracker) {
        return new UsageTable(table, tracker, new Incarnation(new SecureRandom().nextLong()));
    }

    @Provides
    @Singleton
    RackLoadCache loads(JobsContext context) {
        return new RackLoadCache(context);
    }

    @Provides
    @Singleton
    RackManager rackManager(JobsContext context, RackLoadCache loads) {
        return new RackManager(context, loads);
    }
}
