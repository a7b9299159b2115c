package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.Fleet;
import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.JobProgress;
import org.tamarackline.core.fleet.Run;
import org.tamarackline.core.fleet.RunnerCommand;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.fleet.StopCause;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the times in the lines of the decision log. */
class DecisionLogTest {

    private static final Duration WAIT = Duration.ofMillis(250);
    private static final Duration RUN = Duration.ofSeconds(40);

    private final ManualLoop loop = new ManualLoop();
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(lines);
    private final InstantSource timeOfDay = InstantSource.fixed(Instant.EPOCH);
    private final DecisionLog log = new DecisionLog(sink, timeOfDay, loop, "node");
    private final Fleet fleet = new Fleet(1, log, loop);

    /** Guards against times measured with another clock than that of the events, which simulations move. */
    @Test
    void timesAreMeasuredWithTheClockOfTheEventLoop() {
        FleetRunner runner = registerRunner();
        report(runner, List.of());
        fleet.jobs().add(JobDefinitions.tasks("job", 1, RUN.toMillis()), JobProgress.NONE, false, 0);
        Run run = ((RunnerCommand.Start) fleet.schedule(loop.nowNanos(), 0, 1).getFirst()).run();
        long sentNanos = loop.nowNanos();
        loop.advance(WAIT);
        log.startCompleted(
                run,
                1,
                new RunnerCalls.StartResponse(StartResult.STARTED, RunnerCalls.RunnerCommandOutcome.DONE, ""),
                sentNanos);
        loop.advance(RUN);
        report(runner, List.of(new RunnerStatus.EndedRun(1, run.task().key(), run.number(), EndReason.DONE, "")));
        assertThat(writtenLines())
                .contains("\"waitedMs\":" + WAIT.toMillis() + ",")
                .contains("\"tookMs\":" + WAIT.plus(RUN).toMillis() + "}");
    }

    /** Guards against a stop that came late without a trace of whether it was the first one and of what became of it. */
    @Test
    void stopsAreLoggedWithTheirAttemptAndOutcome() {
        FleetRunner runner = registerRunner();
        RunnerCommand.Stop stop =
                new RunnerCommand.Stop(runner, new TaskKey("job", 0, 0, 2), 1, StopCause.UNKNOWN_RUN, 3);
        long sentNanos = loop.nowNanos();
        log.stopSent(stop, 2);
        loop.advance(WAIT);
        log.stopNotConfirmed(stop, RunnerCalls.RunnerCommandOutcome.UNKNOWN, sentNanos);
        assertThat(writtenLines())
                .contains("\"event\":\"stop\"", "\"attempt\":3,\"epoch\":2,\"cause\":\"the run is not known\"}")
                .contains(
                        "\"event\":\"stop-unconfirmed\"",
                        "\"waitedMs\":" + WAIT.toMillis() + ",\"outcome\":\"UNKNOWN\"}");
    }

    /** Guards against a cancelled job whose runs end late without a trace of how long its leader had known of it. */
    @Test
    void endsOfCancelledRunsAreLoggedWithTheTimeSinceTheCancellation() {
        FleetRunner runner = registerRunner();
        report(runner, List.of());
        fleet.jobs().add(JobDefinitions.tasks("job", 1, RUN.toMillis()), JobProgress.NONE, false, 0);
        Run run = ((RunnerCommand.Start) fleet.schedule(loop.nowNanos(), 0, 1).getFirst()).run();
        loop.advance(RUN);
        fleet.jobs().cancel("job");
        loop.advance(WAIT);
        report(runner, List.of(new RunnerStatus.EndedRun(1, run.task().key(), run.number(), EndReason.STOPPED, "")));
        assertThat(writtenLines())
                .contains("\"event\":\"cancelled-run-ended\"", "\"sinceCancelledMs\":" + WAIT.toMillis() + "}");
    }

    private FleetRunner registerRunner() {
        return fleet.runnerRegistered(new RunnerDescriptor(
                "r", 1, "dispatch", "10.0.0.1:80", "dc", "", false, new Resources(16_000, 64_000, 0), Set.of()));
    }

    private void report(FleetRunner runner, List<RunnerStatus.EndedRun> ends) {
        fleet.applyStatus(runner, new RunnerStatus(1, 1, List.of(), ends), loop.nowNanos(), loop.nowNanos());
    }

    private String writtenLines() {
        // The sink takes this line from its queue only after it has written the ones before.
        log.process("end", "");
        sink.flush();
        return lines.toString(StandardCharsets.UTF_8);
    }
}
