package org.tamarackline.core.config;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against invalid configurations that are accepted, and against violations that are reported one at a time. */
class ConfigurationValidatorTest {

    private static final ProfileName NAME = new ProfileName("odd");
    private static final TeamName TEAM = new TeamName("dyeing");

    @Test
    void initialConfigurationIsValid() {
        assertThat(ConfigurationValidator.validate(Configuration.initial())).isEmpty();
    }

    @Test
    void boundsAreInclusive() {
        Profile least = new Profile(NAME, ServiceClass.BATCH, 0, 0, 1, true, true, 0, 0, 0, 0, 0);
        Profile most = new Profile(
                new ProfileName("even"), ServiceClass.BATCH, 1, 1_000, 1_000, true, true, 1, 1, 100, 100, 100);
        assertThat(ConfigurationValidator.validate(configurationWith(List.of(least, most))))
                .isEmpty();
    }

    @Test
    void everyFieldOutOfBoundsIsReported() {
        Profile invalid = new Profile(NAME, ServiceClass.BATCH, -1, 1_001, 0, true, true, -1, -1, 101, -1, 101);
        assertThat(ConfigurationValidator.validate(configurationWith(List.of(invalid))))
                .extracting(violation -> ((ConfigurationViolation.ProfileFieldOutOfBounds) violation).field())
                .containsExactly(
                        "latencyBoundMs",
                        "priority",
                        "share",
                        "ratePerHour",
                        "finishWithinMs",
                        "tailWeight",
                        "throughputWeight",
                        "evictionWeight");
    }

    @Test
    void allKindsOfViolationsAreReportedAtOnce() {
        Profile watcher = new Profile(NAME, ServiceClass.CONTINUOUS, 0, 0, 1, true, true, 0, 5, 0, 0, 0);
        ServiceName quotes = new ServiceName("quotes");
        ServiceName worker = new ServiceName("worker");
        ProfileName missing = new ProfileName("missing");
        Configuration configuration = new Configuration(
                1,
                List.of(watcher, watcher),
                List.of(new TeamQuota(TEAM, new Resources(-1, -2, -3)), new TeamQuota(TEAM, Resources.NONE)),
                List.of(
                        new ServiceDefinition(quotes, missing, TEAM),
                        new ServiceDefinition(quotes, NAME, TEAM),
                        new ServiceDefinition(worker, NAME, TEAM)),
                Set.of("vm/1"));
        assertThat(ConfigurationValidator.validate(configuration))
                .contains(
                        new ConfigurationViolation.DuplicateProfile(NAME),
                        new ConfigurationViolation.DuplicateTeam(TEAM),
                        new ConfigurationViolation.DuplicateService(quotes),
                        new ConfigurationViolation.UnknownProfile(quotes, missing),
                        new ConfigurationViolation.ReservedServiceName(worker),
                        new ConfigurationViolation.NegativeQuota(TEAM, "memoryMb", -2),
                        new ConfigurationViolation.InvalidVmId("vm/1"))
                .hasSize(11);
        assertThat(ConfigurationValidator.validate(configuration))
                .allSatisfy(violation -> assertThat(violation.message()).isNotBlank());
    }

    private static Configuration configurationWith(List<Profile> profiles) {
        return new Configuration(1, profiles, List.of(), List.of(), Set.of());
    }
}
