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

/** Static helpers for configurations. */
public final class Configurations {

    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_SHARE = 1_000;
    private static final int MAX_WEIGHT = 100;
    private static final ServiceName WORKER_ROLE = new ServiceName("worker");

    private Configurations() {}

    /** Returns all mistakes of the configuration; it is valid if there are none. */
    public static List<ConfigurationMistake> mistakes(Configuration configuration) {
        List<ConfigurationMistake> mistakes = new ArrayList<>();
        configuration.profiles().forEach(profile -> checkProfile(profile, mistakes));
        for (ProfileName name : duplicates(configuration.profiles(), Profile::name)) {
            mistakes.add(new ConfigurationMistake.DuplicateProfile(name));
        }
        for (TeamName team : duplicates(configuration.teams(), TeamQuota::team)) {
            mistakes.add(new ConfigurationMistake.DuplicateTeam(team));
        }
        configuration.teams().forEach(quota -> checkQuota(quota, mistakes));
        checkServices(configuration, mistakes);
        configuration.vmsOutOfService().stream()
                .filter(vm -> !Identifiers.isValid(vm))
                .sorted()
                .forEach(vm -> mistakes.add(new ConfigurationMistake.InvalidVm(vm)));
        return mistakes;
    }

    private static void checkProfile(Profile profile, List<ConfigurationMistake> mistakes) {
        ProfileName name = profile.name();
        checkBounds(name, "latencyBoundMs", profile.latencyBoundMs(), 0, Long.MAX_VALUE, mistakes);
        checkBounds(name, "priority", profile.priority(), 0, MAX_PRIORITY, mistakes);
        checkBounds(name, "share", profile.share(), 1, MAX_SHARE, mistakes);
        checkBounds(name, "ratePerHour", profile.ratePerHour(), 0, Long.MAX_VALUE, mistakes);
        checkBounds(name, "finishWithinMs", profile.finishWithinMs(), 0, Long.MAX_VALUE, mistakes);
        checkBounds(name, "tailWeight", profile.tailWeight(), 0, MAX_WEIGHT, mistakes);
        checkBounds(name, "throughputWeight", profile.throughputWeight(), 0, MAX_WEIGHT, mistakes);
        checkBounds(name, "evictionWeight", profile.evictionWeight(), 0, MAX_WEIGHT, mistakes);
        if (profile.serviceClass() == null) {
            mistakes.add(new ConfigurationMistake.MissingClass(name));
        }
        if (profile.serviceClass() == ServiceClass.CONTINUOUS && profile.finishWithinMs() > 0) {
            mistakes.add(new ConfigurationMistake.ProfileContradictory(
                    name, "a continuous task never finishes; set finishWithinMs to 0 or the class to BATCH"));
        }
    }

    private static void checkBounds(
            ProfileName profile, String field, long value, long min, long max, List<ConfigurationMistake> mistakes) {
        if (value < min || value > max) {
            mistakes.add(new ConfigurationMistake.ProfileFieldOutOfBounds(profile, field, value, min, max));
        }
    }

    private static void checkQuota(TeamQuota quota, List<ConfigurationMistake> mistakes) {
        checkPart(quota.team(), "processorMillis", quota.guaranteed().processorMillis(), mistakes);
        checkPart(quota.team(), "memoryMb", quota.guaranteed().memoryMb(), mistakes);
        checkPart(quota.team(), "accelerators", quota.guaranteed().accelerators(), mistakes);
    }

    private static void checkPart(TeamName team, String field, long value, List<ConfigurationMistake> mistakes) {
        if (value < 0) {
            mistakes.add(new ConfigurationMistake.NegativeQuota(team, field, value));
        }
    }

    private static void checkServices(Configuration configuration, List<ConfigurationMistake> mistakes) {
        Set<ProfileName> profiles =
                configuration.profiles().stream().map(Profile::name).collect(Collectors.toSet());
        for (ServiceName name : duplicates(configuration.services(), ServiceDefinition::name)) {
            mistakes.add(new ConfigurationMistake.DuplicateService(name));
        }
        for (ServiceDefinition service : configuration.services()) {
            if (!profiles.contains(service.profile())) {
                mistakes.add(new ConfigurationMistake.UnknownProfile(service.name(), service.profile()));
            }
            if (service.name().equals(WORKER_ROLE)) {
                mistakes.add(new ConfigurationMistake.ReservedServiceName(service.name()));
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
