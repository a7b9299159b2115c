package org.tamarackline.fleet;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import org.tamarackline.core.fleet.RunnerDescriptor;
import org.tamarackline.logging.LineSink;

/** Several nodes that take part in elections, with one manual clock, one store and one runner that they share. */
final class ElectionCluster {

    private static final Pattern LEADER_STARTED = Pattern.compile("\"event\":\"leader-started\",\"epoch\":(\\d+)");

    /** Node of the fleet. */
    record Node(
            String name,
            String address,
            SuspendableLoop loop,
            NodeStore store,
            StoreContact storeContact,
            Election election,
            FleetNodeMetrics metrics) {

        boolean leads() {
            return election.leader().isPresent();
        }

        /** Returns whether the node leads and starts and stops tasks. */
        boolean schedules() {
            return election.leader()
                    .filter(leader -> leader.loaded() && !leader.resigned())
                    .isPresent();
        }

        long epoch() {
            return election.leader().map(leader -> leader.record().epoch()).orElse(0L);
        }
    }

    private final ManualLoop loop = new ManualLoop();
    private final FakeRecordStore store = new FakeRecordStore(loop);
    private final FencingFakeRunner runner = new FencingFakeRunner(loop);
    private final FakePeerCalls.Network network = new FakePeerCalls.Network();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LineSink sink = new LineSink(output);
    private final List<Node> nodes = new ArrayList<>();
    private long incarnations;

    ManualLoop loop() {
        return loop;
    }

    FakeRecordStore store() {
        return store;
    }

    FencingFakeRunner runner() {
        return runner;
    }

    FakePeerCalls.Network network() {
        return network;
    }

    /** Returns the time of day on the test's clock. */
    InstantSource timeOfDay() {
        return () -> Instant.ofEpochMilli(loop.nowNanos() / 1_000_000);
    }

    /** Returns a handler of the requests that reach a node. */
    JobRequestHandler requestHandler(Node node) {
        return new JobRequestHandler(
                node.loop(),
                new MonitoredStore(node.store(), node.storeContact()),
                node.storeContact(),
                node.election(),
                new FakePeerCalls(node.loop(), network),
                node.metrics(),
                timeOfDay());
    }

    /** Starts a node of unknown capacity that finds the shared runner in its directory. */
    Node start(String name) {
        return start(name, NodeCapacity.UNKNOWN);
    }

    /** Starts a node that finds the shared runner in its directory. */
    Node start(String name, NodeCapacity capacity) {
        SuspendableLoop nodeLoop = new SuspendableLoop(loop);
        FleetNodeMetrics metrics = new FleetNodeMetrics(nodeLoop);
        InstantSource timeOfDay = timeOfDay();
        List<RunnerDescriptor> registered = List.of(FencingFakeRunner.DESCRIPTOR);
        StoreContact storeContact = new StoreContact(nodeLoop);
        NodeStore nodeStore = new NodeStore(store, nodeLoop);
        NodeServices services = new NodeServices(
                nodeLoop,
                new MonitoredStore(nodeStore, storeContact),
                runner,
                done -> done.accept(
                        store.rejecting() || nodeStore.refused() ? Optional.empty() : Optional.of(registered)),
                timeOfDay,
                new DecisionLog(sink, timeOfDay, nodeLoop, name),
                metrics);
        String address = name + ":1";
        NodeSettings settings = new NodeSettings(name, "dc", address, capacity);
        Election election =
                new Election(services, storeContact, new FakePeerCalls(nodeLoop, network), settings, ++incarnations);
        network.add(address, nodeLoop, election);
        Node node = new Node(name, address, nodeLoop, nodeStore, storeContact, election, metrics);
        nodes.add(node);
        nodeLoop.execute(election::start);
        return node;
    }

    /** Ends the process of a node. */
    void kill(Node node) {
        node.loop().suspend();
        network.disconnect(node.address());
        nodes.remove(node);
    }

    /** Returns the running nodes. */
    List<Node> running() {
        return List.copyOf(nodes);
    }

    /** Returns the running nodes that lead. */
    List<Node> leading() {
        return nodes.stream().filter(Node::leads).toList();
    }

    /** Returns the number of log lines of an event. */
    long eventCount(String event) {
        return logged().lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .count();
    }

    /** Returns the epochs that started to lead, in order of time. */
    List<Long> leaderEpochs() {
        sink.flush();
        return LEADER_STARTED
                .matcher(logged())
                .results()
                .map(match -> Long.valueOf(match.group(1)))
                .toList();
    }

    String logged() {
        sink.flush();
        return output.toString(StandardCharsets.UTF_8);
    }

    void write(RecordStore.Table table, String key, byte[] value) {
        store.transact(
                new RecordStore.Transaction(List.of(), List.of(new RecordStore.Write(table, key, value))),
                result -> {});
        loop.advance(Duration.ofMillis(100));
    }

    /** Returns the stored leader record. */
    LeaderRecord storedLeader() {
        try {
            return RecordCodec.decodeLeader(
                    store.table(RecordStore.Table.JOBS).get(LeaderRecord.KEY).value());
        } catch (CorruptRecordException corrupt) {
            throw new AssertionError(corrupt);
        }
    }
}
