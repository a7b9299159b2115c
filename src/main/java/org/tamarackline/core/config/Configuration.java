package org.tamarackline.core.config;

import java.util.List;
import java.util.Set;

/**
 * One accepted version of the settings that operators change at run time.
 *
 * @param version version number, raised by one with each accepted change; 0 before the first
 * @param profiles profiles in force
 * @param teams quotas by team
 * @param services services and their profiles
 * @param vmsOutOfService identifiers of the VMs that operators took out of service
 */
public record Configuration(
        long version,
        List<Profile> profiles,
        List<TeamQuota> teams,
        List<ServiceDefinition> services,
        Set<String> vmsOutOfService) {

    /** Creates a configuration that later changes of the arguments do not affect. */
    public Configuration {
        profiles = List.copyOf(profiles);
        teams = List.copyOf(teams);
        services = List.copyOf(services);
        vmsOutOfService = Set.copyOf(vmsOutOfService);
    }

    /** Returns the configuration of a new installation. */
    public static Configuration initial() {
        return new Configuration(0, BuiltInProfiles.ALL, List.of(), List.of(), Set.of());
    }
}
