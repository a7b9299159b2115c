package org.tamarackline.entry.jobs;

import java.util.Set;

import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Key;
import com.google.inject.TypeLiteral;
import io.dropwizard.lifecycle.Managed;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.time.ManualClock;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.CallerApi;
import org.tamarackline.entry.FakeCluster;
import org.tamarackline.entry.cluster.Cluster;
import org.tamarackline.entry.cluster.OwnershipListener;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.store.ObjectStore;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.VmDirectory;

import static org.assertj.core.api.Assertions.assertThat;

class JobsModuleTest {

    /** Guards against classes of this package that Guice cannot create, or that are missing from the multibindings. */
    @Test
    void contributesItsParts() {
        FakePlatform platform = new FakePlatform();
        Injector injector = Guice.createInjector(new JobsModule(), new AbstractModule() {
            @Override
            protected void configure() {
                bind(Cluster.class).toInstance(new FakeCluster(new NodeId("10.0.0.1:1")));
                bind(TableStore.class).toInstance(platform);
                bind(ObjectStore.class).toInstance(platform.objects());
                bind(VmDirectory.class).toInstance(platform);
                bind(PeerCaller.class).toInstance((node, request, timeout) -> new PeerMessage.Ok());
                bind(EntrySettings.class).toInstance(FakeNode.settings("10.0.0.1:1"));
                bind(MonotonicClock.class).toInstance(new ManualClock());
            }
        });
        assertThat(injector.getInstance(Key.get(new TypeLiteral<Set<Object>>() {}, CallerApi.class)))
                .hasOnlyElementsOfType(JobResource.class);
        assertThat(injector.getInstance(Key.get(new TypeLiteral<Set<OwnershipListener>>() {})))
                .hasSize(1);
        assertThat(injector.getInstance(Key.get(new TypeLiteral<Set<PeerHandler>>() {})))
                .hasSize(1);
        assertThat(injector.getInstance(Key.get(new TypeLiteral<Set<Managed>>() {})))
                .hasSize(1);
    }
}
