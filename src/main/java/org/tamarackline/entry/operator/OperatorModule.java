package org.tamarackline.entry.operator;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import org.tamarackline.entry.OperatorApi;

/** Binds the operators' resources. */
public final class OperatorModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder<Object> resources = Multibinder.newSetBinder(binder(), Object.class, OperatorApi.class);
        resources.addBinding().to(MetricsResource.class);
        resources.addBinding().to(StateResource.class);
    }
}
