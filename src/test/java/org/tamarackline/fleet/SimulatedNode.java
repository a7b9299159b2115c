package org.tamarackline.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;

import org.tamarackline.logging.LineSink;

/** A node of a {@link ClusterSimulation}: one process at a time, with the classes of a real node. */
final class SimulatedNode {

    /** Time of day at the start of the simulation, in milliseconds since 1970. */
    private static final long EPOCH_MS = 1_700_000_000_000L;

    /** Time after which a stopped process ends even if its resignation is not stored. */
    static final Duration DRAIN_TIME = Duration.ofMillis(4_100);

    /**
     * Running process of the node.
     *
     * @param loop event loop of the process
     * @param election election of the process
     * @param requests handler of requests about jobs
     * @param configuration configuration in force in the process
     * @param startNanos when the process started
     */
    record NodeProcess(
            SimulatedNodeLoop loop,
            Election election,
            JobRequestHandler requests,
            ConfigurationFollower configuration,
            long startNanos) {

        Optional<Leader> leader() {
            return election.leader();
        }
    }

    /**
     * Machine of the node.
     *
     * @param name name of the node
     * @param stepTime time that the processor takes for a step of the event loop
     * @param capacity capacity that the machine's settings name
     */
    record Machine(String name, Duration stepTime, NodeCapacity capacity) {}

    /** Creates the clients of a new process. */
    interface Clients {

        PeerCalls peers(SimulatedNode node, EventLoop loop);

        RunnerCalls runners(SimulatedNode node, EventLoop loop);
    }

    private final Machine machine;
    private final ManualLoop shared;
    private final SimulatedStore store;
    private final SimulatedStoreClient.Link storeLink;
    private final Clients clients;
    private final LineSink log;
    private final Random random;
    private NodeProcess process;
    private boolean stopping;

    SimulatedNode(
            Machine machine,
            ManualLoop shared,
            SimulatedStore store,
            SimulatedStoreClient.Link storeLink,
            Clients clients,
            LineSink log,
            Random random) {
        this.machine = machine;
        this.shared = shared;
        this.store = store;
        this.storeLink = storeLink;
        this.clients = clients;
        this.log = log;
        this.random = random;
    }

    String name() {
        return machine.name();
    }

    String address() {
        return machine.name() + ":1";
    }

    SimulatedStoreClient.Link storeLink() {
        return storeLink;
    }

    /** Returns the running process, null if there is none. */
    NodeProcess process() {
        return process;
    }

    Optional<Leader> leader() {
        return Optional.ofNullable(process).flatMap(NodeProcess::leader);
    }

    /** Starts a process unless one is running. */
    void start() {
        if (process != null) {
            return;
        }
        SimulatedNodeLoop loop = new SimulatedNodeLoop(shared, machine.stepTime());
        InstantSource timeOfDay = () -> Instant.ofEpochMilli(EPOCH_MS + shared.nowNanos() / 1_000_000);
        SimulatedStoreClient client = new SimulatedStoreClient(shared, loop, store, storeLink);
        StoreContact storeContact = new StoreContact(loop);
        RecordStore monitored = new MonitoredStore(client, storeContact);
        DecisionLog decisionLog = new DecisionLog(log, timeOfDay, loop, machine.name());
        NodeServices services = new NodeServices(
                loop, monitored, clients.runners(this, loop), client, timeOfDay, decisionLog, FleetMetrics.NONE);
        PeerCalls peers = clients.peers(this, loop);
        NodeSettings settings = new NodeSettings(machine.name(), "dc", address(), machine.capacity());
        long incarnation = random.nextLong();
        Election election = new Election(services, storeContact, peers, settings, incarnation);
        ConfigurationFollower configuration = new ConfigurationFollower(
                loop, monitored, ConfigurationRecords::decode, decisionLog, FleetMetrics.NONE, new Random(incarnation));
        process = new NodeProcess(
                loop,
                election,
                new JobRequestHandler(loop, monitored, storeContact, election, peers, FleetMetrics.NONE, timeOfDay),
                configuration,
                shared.nowNanos());
        stopping = false;
        loop.execute(configuration::start);
        loop.execute(election::start);
    }

    /** Ends the process at once. */
    void kill() {
        if (process != null) {
            process.loop().end();
            process = null;
        }
    }

    /** Tells the process to stop: it resigns and ends. */
    void stop() {
        if (process == null || stopping) {
            return;
        }
        stopping = true;
        NodeProcess stopped = process;
        stopped.loop().execute(() -> stopped.election().resign(() -> {}));
        shared.schedule(DRAIN_TIME, () -> {
            if (stopped.equals(process)) {
                kill();
            }
        });
    }
}
