package org.tamarackline.entry.operator;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.ConfigurationValidator;
import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.entry.FakeCluster;

/** Applies changes in memory, by compare-and-set on the version. */
public final class FakeConfigurationUpdater implements ConfigurationUpdater {

    private final FakeCluster cluster;

    public FakeConfigurationUpdater(FakeCluster cluster) {
        this.cluster = cluster;
    }

    @Override
    public synchronized AcceptedChange change(long expectedVersion, UnaryOperator<Configuration> change)
            throws OperatorException {
        Configuration base = cluster.configuration().orElseThrow();
        if (base.version() != expectedVersion) {
            throw OperatorException.conflict(expectedVersion, base.version());
        }
        Configuration edited = change.apply(base);
        List<ConfigurationViolation> violations = ConfigurationValidator.validate(edited);
        if (!violations.isEmpty()) {
            throw new OperatorException(OperatorErrorCode.INVALID, violations.toString());
        }
        Configuration accepted = new Configuration(
                expectedVersion + 1, edited.profiles(), edited.teams(), edited.services(), edited.vmsOutOfService());
        cluster.setConfiguration(Optional.of(accepted));
        return new AcceptedChange(accepted.version(), List.of(cluster.self()), List.of());
    }
}
