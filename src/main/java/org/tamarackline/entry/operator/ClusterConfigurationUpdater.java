package org.tamarackline.entry.operator;

import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.entry.cluster.ConfigurationChangeResult;
import org.tamarackline.entry.cluster.ConfigurationWriter;

/** Applies changes through {@link ConfigurationWriter}, which stores them in the platform's table and pushes them to all nodes. */
@Singleton
public final class ClusterConfigurationUpdater implements ConfigurationUpdater {

    private final ConfigurationWriter writer;

    @Inject
    ClusterConfigurationUpdater(ConfigurationWriter writer) {
        this.writer = writer;
    }

    @Override
    public AcceptedChange change(long expectedVersion, UnaryOperator<Configuration> change) throws OperatorException {
        ConfigurationChangeResult result = writer.change(expectedVersion, change);
        return switch (result) {
            case ConfigurationChangeResult.Accepted accepted ->
                new AcceptedChange(accepted.version(), accepted.inForce(), accepted.unconfirmed());
            case ConfigurationChangeResult.Conflict conflict ->
                throw OperatorException.conflict(expectedVersion, conflict.currentVersion());
            case ConfigurationChangeResult.Invalid invalid -> throw invalidConfiguration(invalid);
            case ConfigurationChangeResult.NotAccepted notAccepted ->
                throw new OperatorException(OperatorErrorCode.PLATFORM_UNAVAILABLE, notAccepted.detail());
            case ConfigurationChangeResult.Unknown unknown -> throw unknownOutcome(unknown);
        };
    }

    private static OperatorException invalidConfiguration(ConfigurationChangeResult.Invalid invalid) {
        String violations = invalid.violations().stream()
                .map(ConfigurationViolation::message)
                .collect(Collectors.joining("; "));
        return new OperatorException(OperatorErrorCode.INVALID, violations);
    }

    private static OperatorException unknownOutcome(ConfigurationChangeResult.Unknown unknown) {
        String detail = "the platform's response was lost; if the change was accepted, the version is %d or higher:"
                .formatted(unknown.version());
        return new OperatorException(
                OperatorErrorCode.OUTCOME_UNKNOWN, detail + " read the configuration before repeating the change");
    }
}
