package org.tamarackline.entry.operator;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import org.tamarackline.entry.OperatorApi;

/** Binds the resources with which operators change the configuration, confirm stopped nodes and read usage. */
public final class OperatorModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder<Object> resources = Multibinder.newSetBinder(binder(), Object.class, OperatorApi.class);
        resources.addBinding().toInstance(new OperatorExceptionMapper());
        resources.addBinding().to(NodeResource.class);
        resources.addBinding().to(ProfileResource.class);
        resources.addBinding().to(ServiceResource.class);
        resources.addBinding().to(TeamResource.class);
        resources.addBinding().to(UsageResource.class);
        resources.addBinding().to(VmResource.class);
    }
}
