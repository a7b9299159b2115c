package org.tamarackline.core.config;

import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/** A reason why a configuration is not valid, found by {@link ConfigurationValidator}. */
public sealed interface ConfigurationViolation {

    /** Returns what is wrong and how to correct it. */
    String message();

    /**
     * A field of a profile is out of its bounds.
     *
     * @param profile name of the profile
     * @param field name of the field
     * @param value value of the field
     * @param min least allowed value
     * @param max largest allowed value
     */
    record ProfileFieldOutOfBounds(ProfileName profile, String field, long value, long min, long max)
            implements ConfigurationViolation {
        @Override
        public String message() {
            return "profile \"%s\": %s is %d; set it to %d to %d".formatted(profile, field, value, min, max);
        }
    }

    /**
     * A profile has no service class.
     *
     * @param profile name of the profile
     */
    record MissingServiceClass(ProfileName profile) implements ConfigurationViolation {
        @Override
        public String message() {
            return "profile \"%s\" has no class; set LATENCY_CRITICAL, BATCH or CONTINUOUS".formatted(profile);
        }
    }

    /**
     * Two fields of a profile exclude each other.
     *
     * @param profile name of the profile
     * @param detail which fields exclude each other, and how to correct them
     */
    record ContradictoryProfileFields(ProfileName profile, String detail) implements ConfigurationViolation {
        @Override
        public String message() {
            return "profile \"%s\": %s".formatted(profile, detail);
        }
    }

    /**
     * Several profiles have the same name.
     *
     * @param profile name of the profiles
     */
    record DuplicateProfile(ProfileName profile) implements ConfigurationViolation {
        @Override
        public String message() {
            return "profile \"%s\" is defined more than once; keep one definition".formatted(profile);
        }
    }

    /**
     * Several services have the same name.
     *
     * @param service name of the services
     */
    record DuplicateService(ServiceName service) implements ConfigurationViolation {
        @Override
        public String message() {
            return "service \"%s\" is defined more than once; keep one definition".formatted(service);
        }
    }

    /**
     * Several quotas name the same team.
     *
     * @param team name of the team
     */
    record DuplicateTeam(TeamName team) implements ConfigurationViolation {
        @Override
        public String message() {
            return "team \"%s\" has more than one quota; keep one".formatted(team);
        }
    }

    /**
     * The profile of a service does not exist.
     *
     * @param service name of the service
     * @param profile name of the missing profile
     */
    record UnknownProfile(ServiceName service, ProfileName profile) implements ConfigurationViolation {
        @Override
        public String message() {
            return "service \"%s\" uses profile \"%s\", which does not exist; add it or choose another"
                    .formatted(service, profile);
        }
    }

    /**
     * The name of a service is the role by which the VM list marks workers.
     *
     * @param service name of the service
     */
    record ReservedServiceName(ServiceName service) implements ConfigurationViolation {
        @Override
        public String message() {
            return "service name \"%s\" is reserved for workers; use another".formatted(service);
        }
    }

    /**
     * The amount of a resource in a quota is negative.
     *
     * @param team name of the team
     * @param field name of the resource
     * @param value amount in the quota
     */
    record NegativeQuota(TeamName team, String field, long value) implements ConfigurationViolation {
        @Override
        public String message() {
            return "team \"%s\": %s is %d; set it to 0 or more".formatted(team, field, value);
        }
    }

    /**
     * The identifier of a VM that is out of service is not valid.
     *
     * @param vmId identifier
     */
    record InvalidVmId(String vmId) implements ConfigurationViolation {
        @Override
        public String message() {
            return "VM \"%s\" is not a valid identifier; use the identifier in the VM list".formatted(vmId);
        }
    }
}
