package org.tamarackline.core.task;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceClass;
import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.TeamName;

/** The profiles and teams of the configuration in force. */
final class ConfiguredProfiles {

    /** Stands for a profile that operators retired while tasks still refer to it; such tasks go behind all others. */
    private static final Profile RETIRED =
            new Profile(new ProfileName("retired"), ServiceClass.BATCH, 0, 0, 1, false, false, 0, 0, 0, 0, 0);

    private Configuration configuration;
    private Map<ProfileName, Profile> profiles = Map.of();
    private Set<TeamName> teams = Set.of();

    ConfiguredProfiles() {
        install(Configuration.initial());
    }

    /** Installs a configuration. */
    void install(Configuration next) {
        if (next.equals(configuration)) {
            return;
        }
        configuration = next;
        Map<ProfileName, Profile> byName = new HashMap<>();
        next.profiles().forEach(profile -> byName.put(profile.name(), profile));
        profiles = byName;
        teams = next.teams().stream().map(TeamQuota::team).collect(Collectors.toUnmodifiableSet());
    }

    Configuration configuration() {
        return configuration;
    }

    Profile profileOf(TaskEntry entry) {
        return profiles.getOrDefault(entry.row.spec().profile(), RETIRED);
    }

    boolean isLatencyCritical(TaskEntry entry) {
        return profileOf(entry).serviceClass() == ServiceClass.LATENCY_CRITICAL;
    }

    /** Returns whether the team may run tasks. An installation that configures no team serves all of them. */
    boolean isTeamKnown(TaskEntry entry) {
        return teams.isEmpty() || teams.contains(entry.row.spec().team());
    }
}
