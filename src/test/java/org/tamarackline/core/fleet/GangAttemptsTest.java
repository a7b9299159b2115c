package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how many runs of a gang may fail: guards against a gang that is given up early, or is started too often. */
class GangAttemptsTest {

    private static final int MEMBERS = 4;
    private static final int MAX_ATTEMPTS = 2;

    /** Longer than a task avoids the only runner that may run it. */
    private static final long RETRY_MS = 4_000;

    private FleetFixture fixture = new FleetFixture(1);
    private FleetRunner runner = fixture.addRunner("a", 16_000);
    private long lastEnd;

    private static JobDefinition job() {
        return FleetFixture.job("j", FleetFixture.gang(MEMBERS));
    }

    private List<Run> startRun() {
        fixture.advanceMs(RETRY_MS);
        List<Run> runs = fixture.scheduleStarts();
        runs.forEach(run -> fixture.applyStartResult(run, StartResult.STARTED));
        return runs;
    }

    /** Ends a run: the members at these positions fail, the others are broken. */
    private void end(List<Run> runs, Integer... failing) {
        List<RunnerStatus.EndedRun> ends = new ArrayList<>();
        for (int i = 0; i < runs.size(); i++) {
            EndReason reason = List.of(failing).contains(i) ? EndReason.FAILED : EndReason.GANG_BROKEN;
            ends.add(FleetFixture.endedRun(++lastEnd, runs.get(i), reason));
        }
        fixture.reportStatus(runner, List.of(), ends);
    }

    private JobState state() {
        for (Job changed : FleetFixture.takeDirtyJobs(fixture.fleet())) {
            if (changed.terminalState() != null) {
                return changed.terminalState();
            }
        }
        return JobState.RUNNING;
    }

    private void changeLeader() {
        JobProgress stored = fixture.progress("j");
        FleetFixture next = new FleetFixture(2);
        next.fleet().jobs().add(job(), stored, true, 0);
        fixture = next;
        runner = next.addRunner("a", 16_000);
    }

    private void addJob() {
        fixture.fleet().jobs().add(job(), JobProgress.NONE, false, 0);
    }

    @Test
    void membersThatFailInOneRunCountAsOneAttempt() {
        addJob();
        end(startRun(), 0, 1, 2, 3);
        assertThat(state()).isEqualTo(JobState.RUNNING);
        List<Run> second = startRun();
        assertThat(second).hasSize(MEMBERS);
        end(second, 1);
        assertThat(state()).isEqualTo(JobState.FAILED);
        assertThat(startRun()).isEmpty();
    }

    @Test
    void membersThatFailInDifferentRunsCountAsSeveralAttempts() {
        addJob();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            assertThat(state()).isEqualTo(JobState.RUNNING);
            end(startRun(), attempt);
        }
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    @Test
    void attemptsCountAcrossAChangeOfLeader() {
        addJob();
        end(startRun(), 0, 3);
        changeLeader();
        List<Run> second = startRun();
        assertThat(second).hasSize(MEMBERS);
        end(second, 1, 2);
        assertThat(state()).isEqualTo(JobState.FAILED);
    }

    /** Guards against a third run of a gang whose first failures are reported only to the second leader. */
    @Test
    void failuresThatAreReportedToTheNextLeaderCount() {
        addJob();
        List<Run> first = startRun();
        changeLeader();
        end(first, 0, 1);
        assertThat(state()).isEqualTo(JobState.RUNNING);
        end(startRun(), 2);
        assertThat(state()).isEqualTo(JobState.FAILED);
    }
}
