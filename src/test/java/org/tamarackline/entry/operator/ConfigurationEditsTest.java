package org.tamarackline.entry.operator;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Guards against edits that leave a service without its profile or team, or that change other entries. */
class ConfigurationEditsTest {

    private static final TeamName TEAM = new TeamName("dyeing");
    private static final ServiceName SERVICE = new ServiceName("quotes");
    private static final ProfileName PROFILE = BuiltInProfiles.QUICK_ANSWER.name();

    @Test
    void profilesAndTeamsInUseAreNotRetired() throws OperatorException {
        Configuration base = withService();
        assertRefused(OperatorErrorCode.IN_USE, () -> ConfigurationEdits.retireProfile(base, PROFILE));
        assertRefused(OperatorErrorCode.IN_USE, () -> ConfigurationEdits.retireTeam(base, TEAM));

        Configuration withoutService = ConfigurationEdits.retireService(base, SERVICE);
        Configuration retired =
                ConfigurationEdits.retireTeam(ConfigurationEdits.retireProfile(withoutService, PROFILE), TEAM);
        assertThat(retired.profiles()).hasSize(2).doesNotContain(BuiltInProfiles.QUICK_ANSWER);
        assertThat(retired.teams()).isEmpty();
    }

    @Test
    void servicesRequireAnExistingTeam() {
        ServiceDefinition service = new ServiceDefinition(SERVICE, PROFILE, TEAM);
        assertRefused(OperatorErrorCode.INVALID, () -> ConfigurationEdits.putService(Configuration.initial(), service));
    }

    @Test
    void retiringAMissingEntryIsRefused() {
        Configuration base = Configuration.initial();
        assertRefused(
                OperatorErrorCode.NOT_FOUND, () -> ConfigurationEdits.retireProfile(base, new ProfileName("absent")));
        assertRefused(OperatorErrorCode.NOT_FOUND, () -> ConfigurationEdits.retireTeam(base, TEAM));
        assertRefused(OperatorErrorCode.NOT_FOUND, () -> ConfigurationEdits.retireService(base, SERVICE));
    }

    @Test
    void puttingAnExistingEntryReplacesItInPlace() throws OperatorException {
        TeamQuota larger = new TeamQuota(TEAM, new Resources(9_000, 9_000, 1));
        Configuration edited = ConfigurationEdits.putTeam(withService(), larger);
        assertThat(edited.teams()).containsExactly(larger);
        assertThat(edited.services()).hasSize(1);
    }

    @Test
    void vmsAreTakenOutOfServiceAndBack() {
        Configuration outOfService = ConfigurationEdits.setVmInService(Configuration.initial(), "w1", false);
        assertThat(outOfService.vmsOutOfService()).containsExactly("w1");
        assertThat(ConfigurationEdits.setVmInService(outOfService, "w1", true).vmsOutOfService())
                .isEmpty();
    }

    private static Configuration withService() throws OperatorException {
        TeamQuota quota = new TeamQuota(TEAM, new Resources(1_000, 1_000, 0));
        Configuration withTeam = ConfigurationEdits.putTeam(Configuration.initial(), quota);
        return ConfigurationEdits.putService(withTeam, new ServiceDefinition(SERVICE, PROFILE, TEAM));
    }

    private interface EditCall {
        Configuration apply() throws OperatorException;
    }

    private static void assertRefused(OperatorErrorCode code, EditCall edit) {
        OperatorException exception = catchThrowableOfType(OperatorException.class, edit::apply);
        assertThat(exception.code()).isEqualTo(code);
    }
}
