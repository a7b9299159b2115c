package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;
import org.tamarackline.logging.LineSink;

/** A leader with a store and runners without faults, and a record of what the runners see. */
final class LeaderFixture {

    private static final Duration LATENCY = Duration.ofMillis(2);
    private static final Duration DIRECTORY_TIMEOUT = Duration.ofMillis(1_500);

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final Map<String, ProtocolRunner> runners = new TreeMap<>();
    private final ProtocolRunnerCalls calls = new ProtocolRunnerCalls(loop, loop, new FaultFreeConnections());
    private final FixtureDirectory directory = new FixtureDirectory();
    private final List<TaskKey> starts = new ArrayList<>();
    private final Map<String, List<TaskKey>> startsByAddress = new TreeMap<>();
    private final Map<String, Long> lastStartsNanos = new TreeMap<>();
    private final Set<TaskKey> running = new HashSet<>();
    private final List<RunnerStatus.EndedRun> acknowledgedEnds = new ArrayList<>();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private Function<TaskKey, ProtocolRunner.RunPlan> plans =
            task -> new ProtocolRunner.RunPlan(Duration.ofMillis(100), EndReason.DONE);
    private long epoch;
    private Leader leader;

    /** Creates a fixture whose leader is not started yet. */
    LeaderFixture(int runnerCount, int runsPerRunner) {
        ProtocolRunner.Properties properties = ProtocolRunner.Properties.DEFAULT;
        ProtocolRunner.Kind kind = ProtocolRunner.Kind.DEFAULT.withMaxRuns(runsPerRunner);
        for (int i = 0; i < runnerCount; i++) {
            String address = addressOf(i);
            // As long as the identifiers of large fleets.
            String id = "runner-of-a-large-fleet-%03d".formatted(i);
            runners.put(address, new ProtocolRunner(id, address, loop, new RecordingObserver(), properties, kind));
        }
    }

    private final class RecordingObserver implements ProtocolRunner.Observer {

        @Override
        public void started(ProtocolRunner on, TaskKey task, long runNumber, long startEpoch) {
            starts.add(task);
            startsByAddress
                    .computeIfAbsent(on.address(), address -> new ArrayList<>())
                    .add(task);
            lastStartsNanos.put(on.address(), loop.nowNanos());
            running.add(task);
        }

        @Override
        public void ended(ProtocolRunner on, RunnerStatus.EndedRun end) {
            running.remove(end.task());
        }

        @Override
        public void acknowledged(ProtocolRunner on, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
            acknowledgedEnds.add(end);
        }
    }

    /** The entries of all runners, and open connections of which the next ones may be silent. */
    private final class FixtureDirectory implements PlatformRunnerDirectory {

        private int silentConnections;

        @Override
        public void list(Consumer<Optional<List<RunnerDescriptor>>> callback) {
            if (silentConnections > 0) {
                silentConnections--;
                loop.schedule(DIRECTORY_TIMEOUT, () -> callback.accept(Optional.empty()));
            } else {
                listOnNewConnections(callback);
            }
        }

        @Override
        public void listOnNewConnections(Consumer<Optional<List<RunnerDescriptor>>> callback) {
            List<RunnerDescriptor> entries =
                    runners.values().stream().map(ProtocolRunner::descriptor).toList();
            loop.schedule(LATENCY, () -> callback.accept(Optional.of(entries)));
        }
    }

    private final class FaultFreeConnections implements ProtocolRunnerCalls.Connections {

        @Override
        public ProtocolRunner runnerAt(String address) {
            return runners.get(address);
        }

        @Override
        public ProtocolRunnerCalls.Delivery next(RunnerDescriptor called) {
            return new ProtocolRunnerCalls.Delivery(ProtocolRunnerCalls.Fate.ANSWERED, LATENCY, LATENCY);
        }

        @Override
        public boolean responsesArrive(RunnerDescriptor called) {
            return true;
        }

        @Override
        public ProtocolRunner.RunPlan plan(ProtocolRunner on, TaskKey task, long runNumber) {
            return plans.apply(task);
        }

        @Override
        public void startSent(RunnerDescriptor called, RunnerCalls.StartCommand command) {}

        @Override
        public void statusReceived(RunnerDescriptor called, RunnerStatus status) {}
    }

    FakeRecordStore store() {
        return store;
    }

    /** Sets how the runs of tasks end by themselves. */
    void setPlans(Function<TaskKey, ProtocolRunner.RunPlan> next) {
        plans = next;
    }

    void advance(Duration duration) {
        loop.advance(duration);
    }

    /** Starts a leader; an earlier one ends. */
    void startLeader() {
        if (leader != null) {
            leader.end();
        }
        epoch++;
        LeaderRecord record = new LeaderRecord(epoch, "node", "10.0.1.9:1", 1, false, List.of());
        write(RecordStore.Table.JOBS, LeaderRecord.KEY, RecordCodec.encodeLeader(record));
        long version = store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).version();
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
        NodeServices services = new NodeServices(
                loop,
                store,
                calls,
                directory,
                timeOfDay,
                new DecisionLog(sink, timeOfDay, loop, "node"),
                FleetMetrics.NONE);
        PeerCalls peers = new FakePeerCalls(loop, new FakePeerCalls.Network());
        leader = new Leader(services, new StoreContact(loop), peers, record, version, reason -> {});
        leader.start(loop.nowNanos());
        loop.advance(Duration.ofSeconds(1));
    }

    void submit(JobDefinition job) {
        write(RecordStore.Table.JOBS, job.id(), RecordCodec.encodeOpenJob(job));
    }

    void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(20));
    }

    /** Makes a runner announce that it will leave, and the next connections on which the directory is read silent. */
    void drainRunner(int number, int silentConnections) {
        runners.get(addressOf(number)).drain();
        directory.silentConnections = silentConnections;
    }

    /** Ends the process of a runner; its entry stays in the directory. */
    void crashRunner(int number) {
        runners.get(addressOf(number)).crash();
    }

    /** Starts a process of a runner that has crashed; the directory has its entry at once. */
    void bootRunnerAs(int number, ProtocolRunner.Kind kind) {
        runners.get(addressOf(number)).bootAs(kind, addressOf(number));
    }

    /** Returns the tasks that a runner has started, once for each start. */
    List<TaskKey> startsOn(int number) {
        return startsByAddress.getOrDefault(addressOf(number), List.of());
    }

    /** Returns when a runner last started a run, on the clock of the fixture. */
    long lastStartNanos(int number) {
        return lastStartsNanos.getOrDefault(addressOf(number), 0L);
    }

    long nowNanos() {
        return loop.nowNanos();
    }

    private static String addressOf(int number) {
        return "10.0.0." + number + ":80";
    }

    /** Returns the tasks of a job that were started, once for each start. */
    List<TaskKey> startsOf(String job) {
        return starts.stream().filter(task -> task.job().equals(job)).toList();
    }

    /** Returns the tasks of a job that run. */
    List<TaskKey> runningTasksOf(String job) {
        return running.stream().filter(task -> task.job().equals(job)).toList();
    }

    /** Returns the tasks of a job with an end that its runner may discard. */
    List<TaskKey> acknowledgedEndsOf(String job) {
        return acknowledgedEnds.stream()
                .map(RunnerStatus.EndedRun::task)
                .filter(task -> task.job().equals(job))
                .toList();
    }

    /** Returns the number of log lines of an event. */
    long loggedLines(String event) {
        sink.flush();
        return output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .count();
    }

    /** Returns whether the store has the job as finished. */
    boolean storedAsFinished(String job) {
        RecordStore.Entry entry = store.table(RecordStore.Table.JOBS).get(job);
        try {
            return entry != null && RecordCodec.decodeJob(job, entry.value()) instanceof StoredJob.Finished;
        } catch (CorruptRecordException corrupt) {
            throw new AssertionError(corrupt);
        }
    }

    /** Returns the keys of the records of a job's progress. */
    List<String> progressKeysOf(String job) {
        return store.table(RecordStore.Table.PROGRESS).keySet().stream()
                .filter(key -> key.equals(job) || key.startsWith(job + "/"))
                .toList();
    }
}
