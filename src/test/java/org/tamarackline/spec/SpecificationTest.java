package org.tamarackline.spec;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

/** Guards against protocols that violate their properties, and against specifications that hold without a mechanism. */
class SpecificationTest {

    /**
     * With a membership lease of one tick the model checker finds no counterexample for some mechanisms, because outage
     * evidence expires at once.
     */
    private static final Map<String, String> LONGER_TIMEOUTS =
            Map.of("HoldTime", "2", "TakeTime", "3", "OutageGrace", "4");

    @TempDir
    private Path directory;

    @ParameterizedTest
    @ValueSource(strings = {"Ownership", "TaskLease", "Configuration"})
    void holds(String specification) throws Exception {
        ModelChecker.CheckResult result = new ModelChecker(directory).check(specification, Map.of());
        assertThat(result.verdict()).as(result.output()).isEqualTo(ModelChecker.Verdict.HOLDS);
    }

    @ParameterizedTest
    @CsvSource({
        "TaskLease, Fencing",
        "TaskLease, WaitForLease",
        "TaskLease, ConditionalWrites",
        "TaskLease, StopBeforeRenewal",
        "Configuration, CheckVersion",
        "Configuration, ReadBack",
        "Configuration, NeverLower",
        "Ownership, WaitForRecords",
        "Ownership, CheckCounter",
        "Ownership, RejectIsolatedPeers",
    })
    void isViolatedWithout(String specification, String mechanism) throws Exception {
        ModelChecker.CheckResult result = new ModelChecker(directory).check(specification, Map.of(mechanism, "FALSE"));
        assertThat(result.verdict()).as(result.output()).isEqualTo(ModelChecker.Verdict.VIOLATED);
    }

    @ParameterizedTest
    @ValueSource(strings = {"KeepPromises", "RestBeforeRecord"})
    void ownershipIsViolatedWithLongerTimesWithout(String mechanism) throws Exception {
        Map<String, String> constants = new HashMap<>(LONGER_TIMEOUTS);
        constants.put(mechanism, "FALSE");
        ModelChecker.CheckResult result = new ModelChecker(directory).check("Ownership", constants);
        assertThat(result.verdict()).as(result.output()).isEqualTo(ModelChecker.Verdict.VIOLATED);
    }

    @Test
    void rejectsAConstantThatDoesNotExist() {
        assertThat(catchThrowable(() -> new ModelChecker(directory).check("TaskLease", Map.of("Missing", "FALSE"))))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
