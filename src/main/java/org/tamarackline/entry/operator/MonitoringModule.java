package org.tamarackline.entry.operator;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import org.tamarackline.entry.OperatorApi;

/** Binds what operators read to watch one node; needs no other node and no platform. */
public final class MonitoringModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder<Object> resources = Multibinder.newSetBinder(binder(), Object.class, OperatorApi.class);
        resources.addBinding().to(MetricsResource.class);
        resources.addBinding().to(StateResource.class);
    }
}
