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

/** Keeps the highest configuration that this node has seen. Thread-safe. */
public class ConfigurationReplica {

    /** Stands for the version of a node that has no configuration yet. */
    static final long NO_VERSION = -1;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ConfigurationTable configurationTable;
    private final PeerCaller peerCaller;
    private final Duration requestTimeout;
    private volatile Optional<Configuration> installed = Optional.empty();

    /** Creates a runner without a configuration. */
    ConfigurationReplica(ConfigurationTable configurationTable, PeerCaller peerCaller, Duration requestTimeout) {
        this.configurationTable = configurationTable;
        this.peerCaller = peerCaller;
        this.requestTimeout = requestTimeout;
    }

    /** Returns the configuration in force. */
    public Optional<Configuration> inForce() {
        return installed;
    }

    /** Returns the version in force, {@link #NO_VERSION} if there is none. */
    long version() {
        return installed.map(Configuration::version).orElse(NO_VERSION);
    }

    /** Puts {@code candidate} in force unless the version in force is as high. */
    synchronized void install(Configuration candidate) {
        if (isNewer(candidate.version())) {
            installed = Optional.of(candidate);
            LOG.atInfo().log("configuration version %d is in force", candidate.version());
        }
    }

    /** Returns whether the candidate is newer than the version in force. */
    boolean isNewer(long candidateVersion) {
        return candidateVersion > version();
    }

    /**
     * Reads the current version from the table and installs it if it is new.
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

    /** Fetches the configuration of a peer that named a higher version; returns whether it is in force here now. */
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
            LOG.atFine().withCause(e).log("configuration of %s could not be fetched", peer);
        }
        return peerVersion <= version();
    }
}
