package org.tamarackline.entry;

import java.util.List;

import com.google.inject.AbstractModule;
import com.google.inject.Module;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.OptionalBinder;
import io.dropwizard.lifecycle.Managed;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.settings.EntrySettings;

/** The root Guice module of a node: binds what its modules share and installs them. */
final class EntryModule extends AbstractModule {

    private final EntrySettings settings;
    private final List<Module> modules;

    EntryModule(EntrySettings settings, List<Module> modules) {
        this.settings = settings;
        this.modules = List.copyOf(modules);
    }

    @Override
    protected void configure() {
        PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        bind(EntrySettings.class).toInstance(settings);
        bind(MonotonicClock.class).toInstance(MonotonicClock.system());
        bind(PrometheusMeterRegistry.class).toInstance(meters);
        bind(MeterRegistry.class).toInstance(meters);
        bind(NodeMetrics.class).asEagerSingleton();
        OptionalBinder.newOptionalBinder(binder(), Cluster.class);
        Multibinder.newSetBinder(binder(), Object.class, CallerApi.class);
        Multibinder.newSetBinder(binder(), Object.class, OperatorApi.class);
        Multibinder.newSetBinder(binder(), StateDump.class);
        Multibinder.newSetBinder(binder(), Managed.class);
        Multibinder.newSetBinder(binder(), DrainStep.class);
        modules.forEach(this::install);
    }
}
