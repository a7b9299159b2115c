package org.tamarackline.entry.operator;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import org.tamarackline.entry.OperatorApi;

/** Binds the resources with which operators monitor one node. They depend neither on other nodes nor on the platform. */
public final class MonitoringModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder<Object> resources = Multibinder.newSetBinder(binder(), Object.class, OperatorApi.class);
        resources.addBinding().to(MetricsResource.class);
        resources.addBinding().to(StateResource.class);
    }
}
