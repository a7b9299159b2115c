package org.tamarackline.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/** Validates configurations before they are accepted. */
public final class ConfigurationValidator {

    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_SHARE = 1_000;
    private static final int MAX_WEIGHT = 100;
    private static final ServiceName WORKER_ROLE = new ServiceName("worker");

    private ConfigurationValidator() {}

    /** Returns all violations; the configuration is valid if there are none. */
    public static List<ConfigurationViolation> validate(Configuration configuration) {
        List<ConfigurationViolation> violations = new ArrayList<>();
        configuration.profiles().forEach(profile -> checkProfile(profile, violations));
        for (ProfileName name : duplicates(configuration.profiles(), Profile::name)) {
            violations.add(new ConfigurationViolation.DuplicateProfile(name));
        }
        for (TeamName team : duplicates(configuration.teams(), TeamQuota::team)) {
            violations.add(new ConfigurationViolation.DuplicateTeam(team));
        }
        configuration.teams().forEach(quota -> checkQuota(quota, violations));
        checkServices(configuration, violations);
        configuration.vmsOutOfService().stream()
                .filter(vm -> !Identifiers.isValid(vm))
                .sorted()
                .forEach(vm -> violations.add(new ConfigurationViolation.InvalidVmId(vm)));
        return violations;
    }

    private static void checkProfile(Profile profile, List<ConfigurationViolation> violations) {
        ProfileName name = profile.name();
        checkBounds(name, "latencyBoundMs", profile.latencyBoundMs(), 0, Long.MAX_VALUE, violations);
        checkBounds(name, "priority", profile.priority(), 0, MAX_PRIORITY, violations);
        checkBounds(name, "share", profile.share(), 1, MAX_SHARE, violations);
        checkBounds(name, "ratePerHour", profile.ratePerHour(), 0, Long.MAX_VALUE, violations);
        checkBounds(name, "finishWithinMs", profile.finishWithinMs(), 0, Long.MAX_VALUE, violations);
        checkBounds(name, "tailWeight", profile.tailWeight(), 0, MAX_WEIGHT, violations);
        checkBounds(name, "throughputWeight", profile.throughputWeight(), 0, MAX_WEIGHT, violations);
        checkBounds(name, "evictionWeight", profile.evictionWeight(), 0, MAX_WEIGHT, violations);
        if (profile.serviceClass() == null) {
            violations.add(new ConfigurationViolation.MissingServiceClass(name));
        }
        if (profile.serviceClass() == ServiceClass.CONTINUOUS && profile.finishWithinMs() > 0) {
            violations.add(new ConfigurationViolation.ContradictoryProfileFields(
                    name, "a continuous task never finishes; set finishWithinMs to 0 or the class to BATCH"));
        }
    }

    private static void checkBounds(
            ProfileName profile,
            String field,
            long value,
            long min,
            long max,
            List<ConfigurationViolation> violations) {
        if (value < min || value > max) {
            violations.add(new ConfigurationViolation.ProfileFieldOutOfBounds(profile, field, value, min, max));
        }
    }

    private static void checkQuota(TeamQuota quota, List<ConfigurationViolation> violations) {
        checkNotNegative(quota.team(), "processorMillis", quota.guaranteed().processorMillis(), violations);
        checkNotNegative(quota.team(), "memoryMb", quota.guaranteed().memoryMb(), violations);
        checkNotNegative(quota.team(), "accelerators", quota.guaranteed().accelerators(), violations);
    }

    private static void checkNotNegative(
            TeamName team, String field, long value, List<ConfigurationViolation> violations) {
        if (value < 0) {
            violations.add(new ConfigurationViolation.NegativeQuota(team, field, value));
        }
    }

    private static void checkServices(Configuration configuration, List<ConfigurationViolation> violations) {
        Set<ProfileName> profiles =
                configuration.profiles().stream().map(Profile::name).collect(Collectors.toSet());
        for (ServiceName name : duplicates(configuration.services(), ServiceDefinition::name)) {
            violations.add(new ConfigurationViolation.DuplicateService(name));
        }
        for (ServiceDefinition service : configuration.services()) {
            if (!profiles.contains(service.profile())) {
                violations.add(new ConfigurationViolation.UnknownProfile(service.name(), service.profile()));
            }
            if (service.name().equals(WORKER_ROLE)) {
                violations.add(new ConfigurationViolation.ReservedServiceName(service.name()));
            }
        }
    }

    private static <T, N extends Comparable<N>> List<N> duplicates(Collection<T> items, Function<T, N> nameOf) {
        Set<N> seen = new HashSet<>();
        return items.stream()
                .map(nameOf)
                .filter(name -> !seen.add(name))
                .distinct()
                .sorted()
                .toList();
    }
}
