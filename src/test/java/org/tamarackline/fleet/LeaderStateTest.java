package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.model.Resources;
import org.tamarackline.logging.LineSink;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the logged leader state shows what tasks wait for. */
class LeaderStateTest {

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FakeRunnerCalls calls = new FakeRunnerCalls(loop);
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private final RunnerDescriptor runner = new RunnerDescriptor(
            "r", 1, "dispatch", "10.0.0.1:80", "dc", "", false, new Resources(16_000, 64_000, 0), Set.of());

    /**
     * Guards against a log that does not distinguish a wait for a silent runner from a lack of capacity or CPU time.
     */
    @Test
    void logsHowManyTasksWaitForARunnerThatDoesNotAnswer() {
        write(RecordStore.Table.ROSTER, runner.id(), RecordCodec.encodeRoster(RosterRecord.uncordoned(runner)));
        write(RecordStore.Table.JOBS, "j", RecordCodec.encodeOpenJob(JobDefinitions.tasks("j", 2, 500)));
        calls.stopResponding();
        InstantSource timeOfDay = () -> java.time.Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                done -> done.accept(Optional.of(List.of(runner))),
                timeOfDay,
                new DecisionLog(sink, timeOfDay, loop, "node"),
                FleetMetrics.NONE);
        new Leader(
                        services,
                        new StoreContact(loop),
                        new FakePeerCalls(loop, new FakePeerCalls.Network()),
                        new LeaderRecord(2, "node", "10.0.0.9:1", 1, false, List.of()),
                        0,
                        reason -> {})
                .start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(3));
        sink.flush();
        assertThat(output.toString(StandardCharsets.UTF_8))
                .contains("\"event\":\"leader-state\"")
                .contains("\"waitingTasks\":2,\"heldTasks\":2,\"unheardRunners\":1,\"silentRunners\":1");
    }

    private void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(100));
    }
}
