package org.tamarackline.entry.proxy;

import com.google.inject.AbstractModule;
import com.google.inject.multibindings.Multibinder;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.entry.CallerApi;
import org.tamarackline.entry.StateDump;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessageType;

/**
 * Guice module for the routing of latency-critical requests.
 *
 * <p>It requires bindings of the settings, the clock, {@code Cluster}, {@code PeerCaller}, {@code VmDirectory} and {@code
 * TableStore}.
 */
public final class ProxyModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder.newSetBinder(binder(), Object.class, CallerApi.class)
                .addBinding()
                .to(ProxyResource.class);
        Multibinder.newSetBinder(binder(), PeerHandler.class).addBinding().to(SlotPeerHandler.class);
        Multibinder.newSetBinder(binder(), OwnershipListener.class).addBinding().to(GroupOwnershipListener.class);
        Multibinder.newSetBinder(binder(), StateDump.class).addBinding().to(RoutingDump.class);
        Multibinder<PeerMessageType> types = Multibinder.newSetBinder(binder(), PeerMessageType.class);
        SlotMessages.TYPES.forEach(type -> types.addBinding().toInstance(type));
        Multibinder.newSetBinder(binder(), Managed.class).addBinding().to(RunnerRefresher.class);
    }
}
