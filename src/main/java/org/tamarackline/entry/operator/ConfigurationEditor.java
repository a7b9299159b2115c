package org.tamarackline.entry.operator;

import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.entry.cluster.Cluster;

/**
 * Applies an operator's edit to the configuration in force at this node and passes the result to {@link
 * ConfigurationUpdater}. Refuses edits that are based on another version.
 */
@Singleton
final class ConfigurationEditor {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Cluster cluster;
    private final ConfigurationUpdater updater;

    @Inject
    ConfigurationEditor(Cluster cluster, ConfigurationUpdater updater) {
        this.cluster = cluster;
        this.updater = updater;
    }

    /** An edit of the configuration, which may be refused. */
    @FunctionalInterface
    interface Edit {

        /** Returns the edited configuration. */
        Configuration apply(Configuration base) throws OperatorException;
    }

    /** Returns the configuration in force at this node. */
    Configuration current() throws OperatorException {
        return cluster.configuration()
                .orElseThrow(() -> new OperatorException(
                        OperatorErrorCode.NO_CONFIGURATION,
                        "this node has no configuration yet; repeat the request later or send it to another node"));
    }

    /** Applies {@code edit} to the configuration, provided that it is at {@code expectedVersion}. */
    ConfigurationUpdater.AcceptedChange edit(Optional<Long> expectedVersion, Edit edit) throws OperatorException {
        long expected = expectedVersion.orElseThrow(() -> new OperatorException(
                OperatorErrorCode.INVALID, "the version that the change is based on is missing; add version=N"));
        Configuration base = current();
        if (base.version() != expected) {
            throw OperatorException.conflict(expected, base.version());
        }
        Configuration edited = edit.apply(base);
        ConfigurationUpdater.AcceptedChange accepted = updater.change(expected, unused -> edited);
        LOGGER.atInfo().log("configuration version %d accepted from an operator", accepted.version());
        return accepted;
    }
}
