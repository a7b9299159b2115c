package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.peer.LocalNode;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.Secret;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;
import org.tamarackline.store.VmDirectory;

/**
 * One process of a {@link SimulatedCluster}, with its pauses, unreachable platform or peers, lost responses and delayed
 * writes or messages.
 */
final class SimulatedNode {

    private static final String NO_KEY = "\n";

    final SimulatedCluster cluster;
    final NodeId id;
    final ClusterNode clusterNode;
    final ConfigurationReplica configurationReplica;
    final ConfigurationWriter writer;
    final ClusterMessageHandler messageHandler;
    final MembershipState membership;
    final ArrayDeque<Runnable> messagesDuringPause = new ArrayDeque<>();
    final long tickOffsetMs;

    /** Time from each heartbeat to the next ping. */
    private final long pingPhaseMs;

    boolean platformUnreachable;
    boolean peersUnreachable;
    boolean paused;
    boolean ticking;
    long pausedUntilMs;

    /** Calls before the process pauses within one; negative if it does not pause. */
    int callsUntilPause = -1;

    boolean pauseBeforeEffect;
    int pauseInCallMs;
    String loseResponseOfKeyPart = NO_KEY;
    String delayWriteOfKeyPart = NO_KEY;
    boolean delayNextMessage;

    /** Time at which the process started or was last unable to reach the platform. */
    long connectedSinceMs;

    SimulatedNode(SimulatedCluster cluster, NodeId id, DataCentre dataCentre, EntrySettings.ClusterTimes times) {
        this.cluster = cluster;
        this.id = id;
        tickOffsetMs = cluster.nextTickOffsetMs();
        pingPhaseMs = cluster.pingPhaseMs();
        connectedSinceMs = cluster.nowMs();
        EntrySettings settings = settings(id, dataCentre, cluster.nodeIds(), times);
        MonotonicClock clock = cluster.driftingClock();
        LocalNode self = new LocalNode(id, cluster.nextIncarnation());
        IncarnationSource incarnations = cluster::nextIncarnation;
        SimulatedTable table = new SimulatedTable();
        ConfigurationTable configurationTable = new ConfigurationTable(table);
        PeerCaller peerCaller = new SimulatedPeerCaller();
        configurationReplica = cluster.mutation().installsAnyVersion()
                ? new RevertingConfigurationReplica(configurationTable, peerCaller, times.requestTimeout())
                : new ConfigurationReplica(configurationTable, peerCaller, times.requestTimeout());
        membership = new MembershipState(settings, self, clock, incarnations);
        ClusterContext context = new ClusterContext(
                settings,
                self,
                clock,
                new ClusterTable(table, settings.region()),
                membership,
                new PeerDirectory(),
                configurationReplica,
                peerCaller,
                Fanout.sequential());
        clusterNode = new ClusterNode(context, new SimulatedVmDirectory(), Set::of);
        messageHandler = new ClusterMessageHandler(context, configurationTable, clusterNode.ownershipLoop());
        writer = new ConfigurationWriter(context, configurationTable, clusterNode);
    }

    private static EntrySettings settings(
            NodeId id, DataCentre dataCentre, List<NodeId> seedPeers, EntrySettings.ClusterTimes times) {
        return new EntrySettings(
                id,
                new Region("north"),
                dataCentre,
                "10.0.0.1:80",
                "10.0.0.1:81",
                "http://10.0.0.9:82",
                seedPeers,
                new Secret("k"),
                new Secret("o"),
                Map.of(),
                times,
                EntrySettings.RequestLimits.defaults(),
                EntrySettings.JobLimits.defaults());
    }

    /** Runs the loops that are due at the current time. */
    void tick() {
        long ageMs = cluster.nowMs() + tickOffsetMs;
        ticking = true;
        if (ageMs % 1000 == 0) {
            clusterNode.heartbeatTick();
        }
        if (ageMs % cluster.mutation().pollIntervalMs() == 0) {
            clusterNode.pollTick();
        }
        if (ageMs % 1000 == pingPhaseMs) {
            clusterNode.pingTick();
        }
        clusterNode.evidenceTick();
        clusterNode.ownershipTick();
        ticking = false;
    }

    boolean reachesPlatform() {
        return !paused && !platformUnreachable && !cluster.platformDown();
    }

    /**
     * Pauses the whole process inside a call, either before the call takes effect or before its response is processed.
     */
    private void pauseIfDue(boolean beforeEffect) {
        if (pauseBeforeEffect == beforeEffect && callsUntilPause >= 0 && callsUntilPause-- == 0) {
            paused = true;
            pausedUntilMs = cluster.nowMs() + pauseInCallMs;
            while (cluster.nowMs() < pausedUntilMs) {
                cluster.step();
            }
            cluster.resume(this);
        }
    }

    /** Installs every version, also a lower one, to show that the property detects it. */
    private static final class RevertingConfigurationReplica extends ConfigurationReplica {

        RevertingConfigurationReplica(
                ConfigurationTable configurationTable, PeerCaller peerCaller, Duration requestTimeout) {
            super(configurationTable, peerCaller, requestTimeout);
        }

        @Override
        boolean isNewer(long candidateVersion) {
            return true;
        }
    }

    private final class SimulatedVmDirectory implements VmDirectory {

        @Override
        public List<VmRecord> list() throws PlatformUnavailableException {
            checkPlatformReachable();
            return cluster.vms();
        }
    }

    private void checkPlatformReachable() throws PlatformUnavailableException {
        if (platformUnreachable || cluster.platformDown()) {
            throw new PlatformUnavailableException("the platform is unreachable", null);
        }
    }

    private final class SimulatedTable implements TableStore {

        @Override
        public Optional<Row> get(String key) throws PlatformUnavailableException {
            checkPlatformReachable();
            Optional<Row> row = cluster.platform().get(key);
            pauseIfDue(false);
            return row;
        }

        @Override
        public List<Row> scan(String prefix, String after, int limit) throws PlatformUnavailableException {
            checkPlatformReachable();
            List<Row> rows = cluster.platform().scan(prefix, after, limit);
            pauseIfDue(false);
            return rows;
        }

        @Override
        public void transact(TableTransaction transaction)
                throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
            checkPlatformReachable();
            pauseIfDue(true);
            checkPlatformReachable();
            TableTransaction sent = cluster.mutation().ignoresChecks()
                    ? new TableTransaction(transaction.token(), List.of(), transaction.writes())
                    : transaction;
            if (writes(transaction, delayWriteOfKeyPart)) {
                delayWriteOfKeyPart = NO_KEY;
                cluster.deliverLater(() -> cluster.applyDelayedWrite(sent));
                throw new OutcomeUnknownException(transaction.token(), null);
            }
            cluster.platform().transact(sent);
            pauseIfDue(false);
            if (writes(transaction, loseResponseOfKeyPart)) {
                loseResponseOfKeyPart = NO_KEY;
                throw new OutcomeUnknownException(transaction.token(), null);
            }
        }

        private static boolean writes(TableTransaction transaction, String keyPart) {
            return transaction.writes().stream().anyMatch(write -> write.key().contains(keyPart));
        }

        @Override
        public boolean wasApplied(String token) throws PlatformUnavailableException {
            checkPlatformReachable();
            return cluster.platform().wasApplied(token);
        }
    }

    private final class SimulatedPeerCaller implements PeerCaller {

        @Override
        public PeerMessage call(NodeId node, PeerMessage request, Duration timeout) throws PeerException {
            pauseIfDue(true);
            SimulatedNode target = cluster.process(node);
            if (target == null || peersUnreachable || target.peersUnreachable) {
                throw new PeerException(PeerException.Reason.UNREACHABLE, "the peer is unreachable", null);
            }
            if (request instanceof ClusterMessages.PushConfiguration
                    && cluster.mutation().losesPushes()) {
                throw new PeerException(PeerException.Reason.TIMEOUT, "lost", null);
            }
            if (target.paused) {
                target.messagesDuringPause.add(() -> target.messageHandler.handle(id, request));
                throw new PeerException(PeerException.Reason.TIMEOUT, "paused", null);
            }
            if (delayNextMessage) {
                delayNextMessage = false;
                cluster.deliverLater(() -> cluster.deliverDelayedMessage(id, target, request));
                throw new PeerException(PeerException.Reason.TIMEOUT, "delayed", null);
            }
            PeerMessage response = target.messageHandler.handle(id, request).orElseThrow();
            pauseIfDue(false);
            return response;
        }
    }
}
