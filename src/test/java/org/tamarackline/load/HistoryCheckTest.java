package org.tamarackline.load;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.standin.upstream.UpstreamHistory;
import org.tamarackline.standin.worker.RunInterval;
import org.tamarackline.standin.worker.RunInterval.RunOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a check that passes although something was lost, wrongly reported as not run, or run twice. */
class HistoryCheckTest {

    private static final TaskId TASK = TaskId.parse("job.0");

    @Test
    void findsRequestsWhoseCallerGotAFalseOutcome() {
        List<RequestOutcome> outcomes = List.of(
                outcome("whole", RequestOutcome.Kind.ANSWERED, Optional.of("yes")),
                outcome("never received", RequestOutcome.Kind.ANSWERED, Optional.of("yes")),
                outcome("denied", RequestOutcome.Kind.REFUSED, Optional.of("no")),
                outcome("correctly denied", RequestOutcome.Kind.REFUSED, Optional.of("no")),
                outcome("unknown", RequestOutcome.Kind.BROKEN, Optional.empty()));
        List<UpstreamHistory> histories =
                List.of(history(Map.of("whole", 1, "denied", 1)), history(Map.of("whole", 1, "unknown", 1)));
        HistoryCheck.RequestCounts counts = HistoryCheck.requests(outcomes, histories);
        assertThat(counts).isEqualTo(new HistoryCheck.RequestCounts(2, 1, 1, 1, 0));
        assertThat(counts.isCorrect()).isFalse();
    }

    @Test
    void acceptsATaskThatWasEvictedAndResumedOnce() {
        HistoryCheck.TaskCounts counts = HistoryCheck.tasks(
                Set.of(TASK),
                List.of(run(0, 0, 10, RunOutcome.STOPPED, 0, 40), run(1, 20, 30, RunOutcome.DONE, 40, 100)));
        assertThat(counts).isEqualTo(new HistoryCheck.TaskCounts(1, 0, 0, 1, 1, 0));
        assertThat(counts.isCorrect()).isTrue();
    }

    @Test
    void findsTasksThatOverlapRepeatAnAttemptOrFinishTwice() {
        RunInterval first = run(0, 0, 10, RunOutcome.STOPPED, 0, 1);
        assertThat(runTwice(first, run(1, 9, 20, RunOutcome.DONE, 0, 1))).isOne();
        assertThat(runTwice(first, run(0, 11, 20, RunOutcome.DONE, 0, 1))).isOne();
        assertThat(runTwice(run(0, 0, 10, RunOutcome.DONE, 0, 1), run(1, 11, 20, RunOutcome.DONE, 0, 1)))
                .isOne();
        assertThat(runTwice(first, run(1, 10, 20, RunOutcome.DONE, 0, 1))).isZero();
    }

    @Test
    void findsAcceptedTasksThatDidNotFinish() {
        assertThat(HistoryCheck.tasks(Set.of(TASK), List.of()).lost()).isOne();
        assertThat(HistoryCheck.tasks(Set.of(TASK), List.of(run(0, 0, 5, RunOutcome.FAILED, 0, 1)))
                        .lost())
                .isOne();
    }

    private static long runTwice(RunInterval... runs) {
        return HistoryCheck.tasks(Set.of(), List.of(runs)).runTwice();
    }

    private static RunInterval run(
            int attempt, long startNanos, long endNanos, RunOutcome outcome, long startWorkMs, long endWorkMs) {
        return new RunInterval(TASK, attempt, startNanos, Optional.of(endNanos), outcome, startWorkMs, endWorkMs);
    }

    private static RequestOutcome outcome(String id, RequestOutcome.Kind kind, Optional<String> executed) {
        return new RequestOutcome(id, kind, 200, Optional.empty(), Optional.empty(), executed);
    }

    private static UpstreamHistory history(Map<String, Integer> requests) {
        return new UpstreamHistory(requests, requests.size(), requests.size(), 1, 0);
    }
}
