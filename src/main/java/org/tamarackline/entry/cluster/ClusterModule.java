package org.tamarackline.entry.cluster;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.google.inject.AbstractModule;
import com.google.inject.Provider;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.Multibinder;
import com.google.inject.multibindings.ProvidesIntoSet;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.StateDump;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerClient;
import org.tamarackline.peer.PeerCodec;
import org.tamarackline.peer.PeerHandler;
import org.tamarackline.peer.PeerLimits;
import org.tamarackline.peer.PeerMessageType;
import org.tamarackline.peer.PeerServer;
import org.tamarackline.peer.PeerTraffic;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.VmDirectory;

/**
 * Binds the classes of this package and the client and server for calls between nodes.
 *
 * <p>Needs bindings of {@link EntrySettings}, {@link MonotonicClock}, {@link TableStore} and {@link VmDirectory}. Other
 * modules contribute {@link PeerHandler}, {@link OwnershipListener} and {@link PeerMessageType} with set
 * binders.
 */
public final class ClusterModule extends AbstractModule {

    @Override
    protected void configure() {
        Multibinder.newSetBinder(binder(), OwnershipListener.class);
        Multibinder.newSetBinder(binder(), PeerHandler.class);
        Multibinder.newSetBinder(binder(), PeerMessageType.class);
        Multibinder.newSetBinder(binder(), StateDump.class);
        bind(Cluster.class).to(ClusterNode.class);
        bind(PeerCaller.class).to(PeerClient.class);
        bind(PeerTraffic.class).toInstance(new PeerTraffic());
    }

    @Provides
    @Singleton
    IncarnationSource incarnations() {
        SecureRandom random = new SecureRandom();
        return () -> new Incarnation(random.nextLong());
    }

    @Provides
    @Singleton
    LocalNode self(EntrySettings settings, IncarnationSource incarnations) {
        return new LocalNode(settings.node(), incarnations.next());
    }

    @Provides
    @Singleton
    PeerCodec codec(Set<PeerMessageType> contributed) {
        List<PeerMessageType> types = new ArrayList<>(ClusterMessages.TYPES);
        types.addAll(contributed);
        return new PeerCodec(types);
    }

    @Provides
    @Singleton
    PeerClient client(LocalNode self, EntrySettings settings, PeerCodec codec, PeerTraffic traffic) {
        return new PeerClient(self, settings.peerKey(), codec, traffic, PeerLimits.defaults());
    }

    @Provides
    @Singleton
    PeerServer server(
            LocalNode self, EntrySettings settings, PeerCodec codec, PeerTraffic traffic, Set<PeerHandler> handlers) {
        return new PeerServer(self, settings.peerKey(), codec, traffic, PeerLimits.defaults(), handlers);
    }

    @Provides
    @Singleton
    ConfigurationTable configurationTable(TableStore table) {
        return new ConfigurationTable(table);
    }

    @Provides
    @Singleton
    ConfigurationReplica configurationReplica(ConfigurationTable table, PeerCaller peerCaller, EntrySettings settings) {
        return new ConfigurationReplica(table, peerCaller, settings.cluster().requestTimeout());
    }

    @Provides
    @Singleton
    MembershipState membershipState(
            EntrySettings settings, LocalNode self, MonotonicClock clock, IncarnationSource incarnations) {
        return new MembershipState(settings, self, clock, incarnations);
    }

    @Provides
    @Singleton
    ClusterContext context(
            EntrySettings settings,
            LocalNode self,
            MonotonicClock clock,
            TableStore table,
            MembershipState membership,
            ConfigurationReplica configurationReplica,
            PeerCaller peerCaller) {
        return new ClusterContext(
                settings,
                self,
                clock,
                new ClusterTable(table, settings.region()),
                membership,
                new PeerDirectory(),
                configurationReplica,
                peerCaller,
                Fanout.concurrent());
    }

    @Provides
    @Singleton
    ClusterNode clusterNode(ClusterContext context, VmDirectory vms, Provider<Set<OwnershipListener>> listeners) {
        return new ClusterNode(context, vms, listeners::get);
    }

    @Provides
    @Singleton
    ConfigurationWriter writer(ClusterContext context, ConfigurationTable table, Cluster cluster) {
        return new ConfigurationWriter(context, table, cluster);
    }

    @Provides
    @Singleton
    ClusterService service(PeerServer server, PeerClient client, ClusterNode clusterNode) {
        return new ClusterService(server, client, clusterNode);
    }

    @ProvidesIntoSet
    PeerHandler handler(ClusterContext context, ConfigurationTable table, ClusterNode clusterNode) {
        return new ClusterMessageHandler(context, table, clusterNode.ownershipLoop());
    }

    @ProvidesIntoSet
    StateDump dump(ClusterContext context) {
        return new ClusterDump(context);
    }
}
