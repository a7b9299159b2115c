package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.peer.PeerCaller;
import org.tamarackline.peer.PeerException;
import org.tamarackline.peer.PeerMessage;
import org.tamarackline.store.PlatformUnavailableException;

/**
 * This node's copy of the configuration, which is the highest version that it has read from the table or received from
 * a peer. Thread-safe.
 */
public class ConfigurationReplica {

    /** Version of a node that has no configuration yet. */
    static final long NO_VERSION = -1;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationTable configurationTable;
    private final PeerCaller peerCaller;
    private final Duration requestTimeout;
    private volatile Optional<Configuration> installed = Optional.empty();

    /** Creates a replica without a configuration. */
    ConfigurationReplica(ConfigurationTable configurationTable, PeerCaller peerCaller, Duration requestTimeout) {
        this.configurationTable = configurationTable;
        this.peerCaller = peerCaller;
        this.requestTimeout = requestTimeout;
    }

    /** Returns the configuration in force, empty if there is none yet. */
    public Optional<Configuration> inForce() {
        return installed;
    }

    /** Returns the version in force, {@link #NO_VERSION} if there is none. */
    long version() {
        return installed.map(Configuration::version).orElse(NO_VERSION);
    }

    /** Puts {@code candidate} in force if it is newer than the configuration in force. */
    synchronized void install(Configuration candidate) {
        if (isNewer(candidate.version())) {
            installed = Optional.of(candidate);
            LOG.atInfo().log("configuration version %d is in force", candidate.version());
        }
    }

    /** Returns whether the version is newer than the one in force. */
    boolean isNewer(long candidateVersion) {
        return candidateVersion > version();
    }

    /**
     * Reads the current version from the table and installs its configuration if it is newer.
     *
     * @return whether the version in force is at least the current one of the table
     */
    boolean poll() throws PlatformUnavailableException {
        ConfigurationTable.CurrentVersion current = configurationTable.readCurrentVersion();
        if (!isNewer(current.version())) {
            return true;
        }
        Optional<Configuration> content = configurationTable.readContent(current);
        content.ifPresent(this::install);
        return content.isPresent();
    }

    /**
     * Fetches the configuration of a peer if the peer's version is newer; returns whether the version in force is then
     * at least the peer's.
     */
    boolean fetchIfNewer(NodeId peer, long peerVersion) {
        if (peerVersion <= version()) {
            return true;
        }
        try {
            PeerMessage response = peerCaller.call(peer, new ClusterMessages.FetchConfiguration(), requestTimeout);
            if (response instanceof ClusterMessages.ConfigurationContent content) {
                content.configuration().ifPresent(this::install);
            }
        } catch (PeerException e) {
            LOG.atFine().withCause(e).log("configuration of node %s could not be fetched", peer);
        }
        return peerVersion <= version();
    }
}
