package org.tamarackline.entry.operator;

import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.entry.cluster.ConfigurationChange;
import org.tamarackline.entry.cluster.ConfigurationWriter;

/** Has changes accepted by the platform's table and pushed to all nodes. */
@Singleton
public final class ClusterConfigurationChanges implements ConfigurationChanges {

    private final ConfigurationWriter writer;

    @Inject
    ClusterConfigurationChanges(ConfigurationWriter writer) {
        this.writer = writer;
    }

    @Override
    public Accepted change(long expectedVersion, UnaryOperator<Configuration> change) throws OperatorException {
        ConfigurationChange outcome = writer.change(expectedVersion, change);
        return switch (outcome) {
            case ConfigurationChange.Accepted accepted ->
                new Accepted(accepted.version(), accepted.inForce(), accepted.notAnswering());
            case ConfigurationChange.Conflict conflict ->
                throw OperatorException.conflict(expectedVersion, conflict.currentVersion());
            case ConfigurationChange.Invalid invalid -> throw refusal(invalid);
            case ConfigurationChange.NotAccepted refused ->
                throw new OperatorException(OperatorErrorCode.PLATFORM_UNAVAILABLE, refused.detail());
            case ConfigurationChange.Unknown unknown -> throw unknownOutcome(unknown);
        };
    }

    private static OperatorException refusal(ConfigurationChange.Invalid invalid) {
        String mistakes =
                invalid.mistakes().stream().map(ConfigurationViolation::message).collect(Collectors.joining("; "));
        return new OperatorException(OperatorErrorCode.INVALID, mistakes);
    }

    private static OperatorException unknownOutcome(ConfigurationChange.Unknown unknown) {
        String detail = "the platform's answer was lost; if the change was accepted, the version is %d or higher:"
                .formatted(unknown.version());
        return new OperatorException(
                OperatorErrorCode.OUTCOME_UNKNOWN, detail + " read the configuration before repeating the change");
    }
}
