package org.tamarackline.entry.operator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/**
 * Static helpers that return a configuration with one entry put, retired or set. They refuse an entry that lacks a
 * required part, does not exist or is still used by a service.
 */
final class ConfigurationEdits {

    private ConfigurationEdits() {}

    static Configuration putProfile(Configuration base, Profile profile) throws OperatorException {
        if (profile.serviceClass() == null) {
            throw new OperatorException(
                    OperatorErrorCode.INVALID, "serviceClass must be LATENCY_CRITICAL, BATCH or CONTINUOUS");
        }
        List<Profile> profiles =
                withReplaced(base.profiles(), existing -> existing.name().equals(profile.name()), profile);
        return new Configuration(base.version(), profiles, base.teams(), base.services(), base.vmsOutOfService());
    }

    static Configuration retireProfile(Configuration base, ProfileName name) throws OperatorException {
        List<String> users = base.services().stream()
                .filter(service -> service.profile().equals(name))
                .map(service -> service.name().value())
                .toList();
        refuseIfUsed("profile", name.value(), users);
        List<Profile> profiles =
                without(base.profiles(), existing -> existing.name().equals(name), "profile", name.value());
        return new Configuration(base.version(), profiles, base.teams(), base.services(), base.vmsOutOfService());
    }

    static Configuration putTeam(Configuration base, TeamQuota quota) throws OperatorException {
        if (quota.guaranteed() == null) {
            throw new OperatorException(
                    OperatorErrorCode.INVALID, "guaranteed needs processorMillis, memoryMb and accelerators");
        }
        List<TeamQuota> teams =
                withReplaced(base.teams(), existing -> existing.team().equals(quota.team()), quota);
        return new Configuration(base.version(), base.profiles(), teams, base.services(), base.vmsOutOfService());
    }

    static Configuration retireTeam(Configuration base, TeamName name) throws OperatorException {
        List<String> users = base.services().stream()
                .filter(service -> service.team().equals(name))
                .map(service -> service.name().value())
                .toList();
        refuseIfUsed("team", name.value(), users);
        List<TeamQuota> teams =
                without(base.teams(), existing -> existing.team().equals(name), "team", name.value());
        return new Configuration(base.version(), base.profiles(), teams, base.services(), base.vmsOutOfService());
    }

    static Configuration putService(Configuration base, ServiceDefinition service) throws OperatorException {
        boolean teamKnown = base.teams().stream().anyMatch(quota -> quota.team().equals(service.team()));
        if (!teamKnown) {
            throw new OperatorException(
                    OperatorErrorCode.INVALID, "team \"%s\" does not exist; add it first".formatted(service.team()));
        }
        List<ServiceDefinition> services =
                withReplaced(base.services(), existing -> existing.name().equals(service.name()), service);
        return new Configuration(base.version(), base.profiles(), base.teams(), services, base.vmsOutOfService());
    }

    static Configuration retireService(Configuration base, ServiceName name) throws OperatorException {
        List<ServiceDefinition> services =
                without(base.services(), existing -> existing.name().equals(name), "service", name.value());
        return new Configuration(base.version(), base.profiles(), base.teams(), services, base.vmsOutOfService());
    }

    static Configuration setVmInService(Configuration base, String vm, boolean inService) {
        Set<String> outOfService = new HashSet<>(base.vmsOutOfService());
        if (inService) {
            outOfService.remove(vm);
        } else {
            outOfService.add(vm);
        }
        return new Configuration(base.version(), base.profiles(), base.teams(), base.services(), outOfService);
    }

    /** Returns {@code items} with the first match replaced by {@code item}, or with {@code item} added at the end. */
    private static <T> List<T> withReplaced(List<T> items, Predicate<T> matches, T item) {
        List<T> result = new ArrayList<>(items);
        Optional<T> existing = items.stream().filter(matches).findFirst();
        if (existing.isPresent()) {
            result.set(items.indexOf(existing.get()), item);
        } else {
            result.add(item);
        }
        return result;
    }

    private static <T> List<T> without(List<T> items, Predicate<T> matches, String kind, String name)
            throws OperatorException {
        List<T> result = items.stream().filter(matches.negate()).toList();
        if (result.size() == items.size()) {
            throw new OperatorException(OperatorErrorCode.NOT_FOUND, "there is no %s \"%s\"".formatted(kind, name));
        }
        return result;
    }

    private static void refuseIfUsed(String kind, String name, List<String> services) throws OperatorException {
        if (!services.isEmpty()) {
            String detail = "%s \"%s\" is used by the services %s; change them first"
                    .formatted(kind, name, String.join(", ", services));
            throw new OperatorException(OperatorErrorCode.IN_USE, detail);
        }
    }
}
