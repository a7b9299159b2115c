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

/** Looks up the profile of a task, and whether its team is known, in the configuration in force. */
final class ConfiguredProfiles {

    /** Replaces a profile that operators removed while tasks still refer to it. Has the lowest possible priority. */
    private static final Profile RETIRED =
            new Profile(new ProfileName("retired"), ServiceClass.BATCH, 0, 0, 1, false, false, 0, 0, 0, 0, 0);

    private Configuration configuration;
    private Map<ProfileName, Profile> profiles = Map.of();
    private Set<TeamName> teams = Set.of();

    ConfiguredProfiles() {
        install(Configuration.initial());
    }

    /** Replaces the configuration in force. */
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

    /** Returns whether the team may run tasks. If no team is configured, all teams may. */
    boolean isTeamKnown(TaskEntry entry) {
        return teams.isEmpty() || teams.contains(entry.row.spec().team());
    }
}
