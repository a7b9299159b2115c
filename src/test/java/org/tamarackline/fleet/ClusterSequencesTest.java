package org.tamarackline.fleet;

import java.util.List;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs random sequences of faults in {@link ClusterSimulation}; {@link ClusterSeeds} runs further seeds by hand. */
class ClusterSequencesTest {

    private static final int SEEDS_PER_DEFECT = 30;

    /** Guards against tasks that run twice, too early or not at all. */
    @Property(tries = 150, seed = "4711", shrinking = ShrinkingMode.OFF)
    void keepsItsRulesUnderFaults(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.ALL_KINDS))
                .isEmpty();
    }

    /**
     * Guards against a leader that is replaced because the store answers nobody, and against a successor that lets the
     * leases of runners expire.
     */
    @Property(tries = 60, seed = "4711", shrinking = ShrinkingMode.OFF)
    void bridgesOutagesOfTheStore(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.STORE_OUTAGES))
                .isEmpty();
    }

    /** Guards against long-running tasks that stand longer with each change of the leader after their runner is lost. */
    @Property(tries = 25, seed = "4711", shrinking = ShrinkingMode.OFF)
    void leaderChangesDoNotProlongTheWaitForLostRunners(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.LEADER_CHANGES))
                .isEmpty();
    }

    /** Guards against tasks of cancelled jobs that run on because the cancellation or the stops meet silent connections. */
    @Property(tries = 12, seed = "4711", shrinking = ShrinkingMode.OFF)
    void cancelledTasksEndInTimeAlthoughConnectionsAreSilent(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.CANCELLATIONS))
                .isEmpty();
    }

    /** Guards against a leader that is kept although the store fails its transactions, until all leases end together. */
    @Property(tries = 2, seed = "4711", shrinking = ShrinkingMode.OFF)
    void leaderWhoseTransactionsFailIsReplacedInTime(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.WRITE_FAILURES))
                .isEmpty();
    }

    /**
     * Guards against starts on a runner that has restarted as another kind, and against starts over the capacity of a
     * runner that does not guard it.
     */
    @Property(tries = 40, seed = "4711", shrinking = ShrinkingMode.OFF)
    void startsFitTheirRunnersAlthoughTheseAndTheLeadersChange(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.RUNNER_CHANGES))
                .isEmpty();
    }

    /** Guards against runs by commands that a later process of their runner executes. */
    @Property(tries = 20, seed = "4711", shrinking = ShrinkingMode.OFF)
    void lateCommandsHaveNoEffectOnLaterProcesses(@ForAll long seed) {
        assertThat(violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.LATE_COMMANDS))
                .isEmpty();
    }

    /** Guards against failures that cannot be reproduced. */
    @Property(tries = 2, seed = "4711", shrinking = ShrinkingMode.OFF)
    void sameSeedGivesTheSameEvents(@ForAll long seed) {
        assertThat(digest(seed)).isEqualTo(digest(seed));
    }

    /** Checks that the simulation detects a mechanism that does not work. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {
                "NONE",
                "LEASE_ENDS_FORGOTTEN",
                "STOPS_LOST",
                "CANCELLATIONS_HIDDEN",
                "ENTRIES_WITHOUT_PROCESS",
                "STOPPING_RUNS_HIDDEN",
                "FAILED_WRITES_HIDDEN",
                "STOPS_OF_UNKNOWN_RUNS_FORGOTTEN"
            })
    void detectsADefectOfTheEnvironment(ClusterSimulation.Defect defect) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> !violations(seed, defect, ClusterFaults.Profile.ALL_KINDS)
                                .isEmpty()
                        && violations(seed, ClusterSimulation.Defect.NONE, ClusterFaults.Profile.ALL_KINDS)
                                .isEmpty());
    }

    /** Checks that the simulation detects long-running tasks that stand too long. */
    @ParameterizedTest
    @CsvSource({"NEW_RUNNERS_HIDDEN, ALL_KINDS", "LEASE_ENDS_FORGOTTEN, LEADER_CHANGES"})
    void detectsLongRunningTasksThatStand(ClusterSimulation.Defect defect, ClusterFaults.Profile profile) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaks(RunHistory.Rule.LONG_RUNNING_TASK_STOPPED, seed, defect, profile));
    }

    /**
     * Checks that the simulation detects leases that end together, and a fleet without a leader that starts tasks.
     *
     * @param firstSeed first seed that shows it when this was written, because a run takes a second or more
     */
    @ParameterizedTest
    @CsvSource({"LEASE_EXPIRED_IN_WRITE_FAILURE, 10", "NO_LEADER_ACTS, 6"})
    void detectsLeadersThatCannotWrite(RunHistory.Rule rule, long firstSeed) {
        assertThat(LongStream.range(firstSeed, firstSeed + SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaks(
                        rule,
                        seed,
                        ClusterSimulation.Defect.FAILED_WRITES_HIDDEN,
                        ClusterFaults.Profile.WRITE_FAILURES));
    }

    /** Checks that the simulation detects tasks of cancelled jobs that run on, or are started, after their bound. */
    @ParameterizedTest
    @CsvSource({
        "STOPS_LOST, CANCELLED_JOB_RUNS_ON",
        "CANCELLATIONS_HIDDEN, CANCELLED_JOB_RUNS_ON",
        "CANCELLATIONS_HIDDEN, CANCELLED_JOB_STARTED"
    })
    void detectsRunsOfCancelledJobs(ClusterSimulation.Defect defect, RunHistory.Rule rule) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaks(rule, seed, defect, ClusterFaults.Profile.STORE_OUTAGES));
    }

    /** Checks that the simulation detects starts that do not fit their runner. */
    @ParameterizedTest
    @CsvSource({"ENTRIES_WITHOUT_PROCESS, STARTED_ON_WRONG_RUNNER", "STOPPING_RUNS_HIDDEN, STARTED_OVER_CAPACITY"})
    void detectsStartsThatDoNotFitTheirRunner(ClusterSimulation.Defect defect, RunHistory.Rule rule) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaks(rule, seed, defect, ClusterFaults.Profile.RUNNER_CHANGES));
    }

    /** Checks that the simulation detects runs by starts that a later process of their runner executes. */
    @ParameterizedTest
    @EnumSource(names = {"CONCURRENT_RUNS", "STARTED_AFTER_END"})
    void detectsStartsOnLaterProcesses(RunHistory.Rule rule) {
        assertThat(LongStream.range(0, SEEDS_PER_DEFECT))
                .anyMatch(seed -> breaks(
                        rule,
                        seed,
                        ClusterSimulation.Defect.STOPS_OF_UNKNOWN_RUNS_FORGOTTEN,
                        ClusterFaults.Profile.LATE_COMMANDS));
    }

    /** Returns whether a seed breaks a rule with a defect, and none without. */
    private static boolean breaks(
            RunHistory.Rule rule, long seed, ClusterSimulation.Defect defect, ClusterFaults.Profile profile) {
        return violations(seed, defect, profile).stream().anyMatch(found -> found.rule() == rule)
                && violations(seed, ClusterSimulation.Defect.NONE, profile).isEmpty();
    }

    private static List<RunHistory.Violation> violations(
            long seed, ClusterSimulation.Defect defect, ClusterFaults.Profile profile) {
        ClusterSimulation simulation = new ClusterSimulation(seed, defect, profile, false);
        simulation.run();
        return simulation.history().violations();
    }

    private static long digest(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(seed, ClusterSimulation.Defect.NONE, false);
        simulation.run();
        return simulation.history().digest();
    }
}
