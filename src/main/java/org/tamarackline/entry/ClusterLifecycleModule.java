package org.tamarackline.entry;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.entry.operator.ClusterConfigurationUpdater;
import org.tamarackline.entry.operator.ClusterNodeStopConfirmer;
import org.tamarackline.entry.operator.ConfigurationUpdater;
import org.tamarackline.entry.operator.NodeStopConfirmer;

/** Binds the cluster to the node's start, drain and stop, and operators' changes to their cluster implementations. */
public final class ClusterLifecycleModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(ClusterLifecycle.class);
        Multibinder.newSetBinder(binder(), DrainStep.class).addBinding().to(ClusterLifecycle.class);
        bind(PeerTrafficMetrics.class).asEagerSingleton();
        bind(ConfigurationUpdater.class).to(ClusterConfigurationUpdater.class);
        bind(NodeStopConfirmer.class).to(ClusterNodeStopConfirmer.class);
    }
}
