package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.ConfigurationValidator;
import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;

/** Stores operators' changes of the configuration as new versions and pushes each to all nodes. */
public final class ConfigurationWriter {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationTable configurationTable;
    private final ConfigurationReplica configurationReplica;
    private final Cluster cluster;
    private final PeerCaller peerCaller;
    private final Fanout fanout;
    private final Duration requestTimeout;

    ConfigurationWriter(ClusterContext context, ConfigurationTable configurationTable, Cluster cluster) {
        this.configurationTable = configurationTable;
        this.cluster = cluster;
        configurationReplica = context.configurationReplica();
        peerCaller = context.peerCaller();
        fanout = context.fanout();
        requestTimeout = context.settings().cluster().requestTimeout();
    }

    /**
     * Applies {@code change} to the configuration if its current version is {@code expectedVersion}, and stores the
     * result as the next version.
     *
     * @param expectedVersion version that the operator's change is based on
     * @param change returns the changed configuration; its version is ignored
     */
    public ConfigurationChangeResult change(long expectedVersion, UnaryOperator<Configuration> change) {
        try {
            ConfigurationTable.CurrentVersion current = configurationTable.readCurrentVersion();
            if (current.version() != expectedVersion) {
                return new ConfigurationChangeResult.Conflict(current.version());
            }
            return configurationTable
                    .readContent(current)
                    .map(base -> replace(current, change.apply(base)))
                    .orElseGet(() -> new ConfigurationChangeResult.NotAccepted(
                            "the configuration of version %d cannot be read".formatted(expectedVersion)));
        } catch (PlatformUnavailableException e) {
            LOG.atInfo().withCause(e).log("configuration change was not stored: the platform is unavailable");
            return new ConfigurationChangeResult.NotAccepted("the platform does not respond; retry later");
        }
    }

    private ConfigurationChangeResult replace(ConfigurationTable.CurrentVersion current, Configuration changed) {
        Configuration next = new Configuration(
                current.version() + 1,
                changed.profiles(),
                changed.teams(),
                changed.services(),
                changed.vmsOutOfService());
        List<ConfigurationViolation> violations = ConfigurationValidator.validate(next);
        if (!violations.isEmpty()) {
            return new ConfigurationChangeResult.Invalid(violations);
        }
        try {
            configurationTable.replace(current, next, ClusterTable.newTransactionToken());
        } catch (TransactionConflictException e) {
            return conflict(current);
        } catch (ConfigurationTooLargeException e) {
            return new ConfigurationChangeResult.NotAccepted(e.getMessage());
        } catch (PlatformUnavailableException e) {
            LOG.atInfo().withCause(e).log("configuration change was not stored: the platform is unavailable");
            return new ConfigurationChangeResult.NotAccepted("the platform does not respond; retry later");
        } catch (OutcomeUnknownException e) {
            LOG.atWarning().withCause(e).log("outcome of configuration version %d is unknown", next.version());
            return new ConfigurationChangeResult.Unknown(next.version());
        }
        configurationReplica.install(next);
        ConfigurationChangeResult accepted = pushToPeers(next);
        configurationTable.deleteExpiredContent(next.version());
        return accepted;
    }

    private ConfigurationChangeResult conflict(ConfigurationTable.CurrentVersion before) {
        try {
            return new ConfigurationChangeResult.Conflict(
                    configurationTable.readCurrentVersion().version());
        } catch (PlatformUnavailableException e) {
            return new ConfigurationChangeResult.Conflict(before.version() + 1);
        }
    }

    private ConfigurationChangeResult pushToPeers(Configuration next) {
        List<NodeId> targets = cluster.peers().stream().map(Member::node).toList();
        List<Boolean> confirmations = fanout.map(targets, node -> pushToPeer(node, next));
        List<NodeId> inForce = new ArrayList<>(List.of(cluster.self()));
        List<NodeId> unconfirmed = new ArrayList<>();
        for (int index = 0; index < targets.size(); index++) {
            (confirmations.get(index) ? inForce : unconfirmed).add(targets.get(index));
        }
        return new ConfigurationChangeResult.Accepted(next.version(), List.copyOf(inForce), List.copyOf(unconfirmed));
    }

    private boolean pushToPeer(NodeId node, Configuration next) {
        try {
            PeerMessage response = peerCaller.call(node, new ClusterMessages.PushConfiguration(next), requestTimeout);
            return response instanceof ClusterMessages.ConfigurationInForce installed
                    && installed.version() >= next.version();
        } catch (PeerException e) {
            LOG.atInfo().withCause(e).log("configuration version %d was not pushed to %s", next.version(), node);
            return false;
        }
    }
}
