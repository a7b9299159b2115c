package org.tamarackline.entry;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.entry.operator.ClusterConfigurationChanges;
import org.tamarackline.entry.operator.ClusterStopConfirmations;
import org.tamarackline.entry.operator.ConfigurationChanges;
import org.tamarackline.entry.operator.StopConfirmations;

/** Ties the node's start, drain and stop and the operators' changes to the cluster. */
public final class ClusterLifecycleModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(ClusterLifecycle.class);
        Multibinder.newSetBinder(binder(), DrainStep.class).addBinding().to(ClusterLifecycle.class);
        bind(PeerTrafficMetrics.class).asEagerSingleton();
        bind(ConfigurationChanges.class).to(ClusterConfigurationChanges.class);
        bind(StopConfirmations.class).to(ClusterStopConfirmations.class);
    }
}
