package org.tamarackline.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.VmRecord;
import org.tamarackline.standin.upstream.UpstreamHistory;
import org.tamarackline.standin.upstream.UpstreamOptions;
import org.tamarackline.standin.worker.RunInterval;
import org.tamarackline.store.VmEntry;

/**
 * A cluster of separate processes on this machine: entry nodes and stand-ins of the platform, workers and runners.
 *
 * <p>{@link #close} ends every started process, also after a start that failed partway.
 */
public final class LocalCluster implements AutoCloseable {

    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final long WORKER_MEMORY_MB = 8_000;
    private static final int RUNNER_CONNECTIONS = 64;
    private static final int WORKERS_PER_RACK = 8;
    private static final int HTTP_OK = 200;

    private final LocalClusterPlan plan;
    private final LocalCredentials credentials = LocalCredentials.random();
    private final JsonHttpClient http = new JsonHttpClient();
    private final List<ChildProcess> startedProcesses = new ArrayList<>();
    private final List<StandinProcess> workers = new ArrayList<>();
    private final List<StandinProcess> runners = new ArrayList<>();
    private final PortReservations ports;
    private final List<EntryAddresses> addresses;
    private final List<ChildProcess> entryNodes = new ArrayList<>();
    private StandinProcess platform;
    private boolean closed;

    private LocalCluster(LocalClusterPlan plan, PortReservations ports, List<EntryAddresses> addresses) {
        this.plan = plan;
        this.ports = ports;
        this.addresses = addresses;
    }

    /**
     * A stand-in process.
     *
     * @param process the process
     * @param address IPv4 address and port on which it listens
     */
    public record StandinProcess(ChildProcess process, String address) {

        /** Returns the base URL. */
        public String url() {
            return "http://" + address;
        }
    }

    /**
     * Creates a cluster without starting a process, so that the caller can first arrange for {@link #close}.
     *
     * <p>The ports of the entry nodes stay reserved until then: the nodes are each other's peers, so their addresses must be
     * known before the first start, and a node is restarted with the same addresses.
     */
    public static LocalCluster prepare(LocalClusterPlan plan) throws IOException {
        PortReservations ports = new PortReservations();
        try {
            return new LocalCluster(plan, ports, EntryAddresses.reserve(plan.entryNodes(), ports));
        } catch (IOException e) {
            ports.close();
            throw e;
        }
    }

    /**
     * Starts all processes and waits until every entry node is ready.
     *
     * @throws IOException if a process ends or is not ready in time
     */
    public void start() throws IOException, InterruptedException {
        platform = startStandins("platform", "standin-platform", 1, List.of()).getFirst();
        List<String> workerOptions = List.of(
                "--platform",
                platform.url(),
                "--processors",
                Integer.toString(plan.workerProcessors()),
                "--memory-mb",
                Long.toString(WORKER_MEMORY_MB));
        workers.addAll(startStandins("worker", "standin-worker", plan.workers(), workerOptions));
        runners.addAll(startStandins("runner", "standin-upstream", plan.runners(), List.of()));
        http.putJson(platform.url() + "/standin/vms", vmList());
        for (int node = 0; node < plan.entryNodes(); node++) {
            entryNodes.add(launchEntry(node));
        }
        for (int node = 0; node < plan.entryNodes(); node++) {
            awaitReady(node);
        }
    }

    /** Restarts an entry node that has ended, with the same addresses. */
    public void restartEntry(int node) throws IOException {
        entryNodes.set(node, launchEntry(node));
    }

    /** Waits until an entry node is ready. */
    public void awaitReady(int node) throws IOException, InterruptedException {
        ChildProcess process = entryNodes.get(node);
        Waits.until(process.name() + " is ready", START_TIMEOUT, () -> !process.isAlive() || isReady(node));
        if (!process.isAlive()) {
            throw process.endedEarlyException();
        }
    }

    /** Returns whether an entry node reports that it is ready. */
    public boolean isReady(int node) throws InterruptedException {
        try {
            String url = addresses.get(node).callerUrl() + "/ready";
            return http.send("GET", url, Optional.empty(), Optional.empty()).status() == HTTP_OK;
        } catch (IOException notUp) {
            return false;
        }
    }

    /** Returns the process of an entry node. */
    public ChildProcess entryNode(int node) {
        return entryNodes.get(node);
    }

    /** Returns the addresses of the entry nodes. */
    public List<EntryAddresses> entryAddresses() {
        return addresses;
    }

    /** Returns the platform stand-in. */
    public StandinProcess platform() {
        return platform;
    }

    /** Returns the worker stand-ins. */
    public List<StandinProcess> workers() {
        return List.copyOf(workers);
    }

    /** Returns the runner stand-ins. */
    public List<StandinProcess> runners() {
        return List.copyOf(runners);
    }

    /** Returns the credentials of this cluster. */
    public LocalCredentials credentials() {
        return credentials;
    }

    /** Returns the client for requests to the processes. */
    public JsonHttpClient http() {
        return http;
    }

    /** Returns the runs of all workers. */
    public List<RunInterval> workerRuns() throws IOException, InterruptedException {
        List<RunInterval> runs = new ArrayList<>();
        for (StandinProcess worker : workers) {
            runs.addAll(Arrays.asList(http.getJson(worker.url() + "/standin/history", RunInterval[].class)));
        }
        return runs;
    }

    /** Returns the histories of all runners. */
    public List<UpstreamHistory> runnerHistories() throws IOException, InterruptedException {
        List<UpstreamHistory> histories = new ArrayList<>();
        for (StandinProcess runner : runners) {
            histories.add(http.getJson(runner.url() + "/standin/history", UpstreamHistory.class));
        }
        return histories;
    }

    @Override
    public void close() {
        entryNodes.forEach(ChildProcess::terminate);
        for (ChildProcess entryNode : entryNodes) {
            awaitEndOrKill(entryNode);
        }
        killAll();
        http.close();
        ports.close();
    }

    /** Ends every process immediately; used in shutdown hooks. */
    public void killAll() {
        List<ChildProcess> all;
        synchronized (startedProcesses) {
            closed = true;
            all = List.copyOf(startedProcesses);
        }
        all.forEach(ChildProcess::kill);
        all.forEach(LocalCluster::awaitEndOrKill);
    }

    private List<StandinProcess> startStandins(String name, String command, int count, List<String> options)
            throws IOException, InterruptedException {
        List<ChildProcess> processes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<String> arguments = new ArrayList<>(
                    List.of(command, "--ready-file", readyFile(name, i).toString()));
            arguments.addAll(options);
            processes.add(launch(name + "-" + i, arguments));
        }
        List<StandinProcess> standins = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String address = processes.get(i).awaitReadyFile(readyFile(name, i), START_TIMEOUT);
            standins.add(new StandinProcess(processes.get(i), address));
        }
        return standins;
    }

    private ChildProcess launchEntry(int node) throws IOException {
        Path file = plan.directory().resolve("entry-" + node + ".toml");
        Files.writeString(
                file,
                EntrySettingsWriter.write(
                        addresses.get(node), addresses, platform.url(), credentials, plan.settings()));
        return launch("entry-" + node, List.of("entry", "--config", file.toString()));
    }

    private ChildProcess launch(String name, List<String> arguments) throws IOException {
        Path log = plan.directory().resolve(name + ".log");
        synchronized (startedProcesses) {
            if (closed) {
                throw new IOException("the cluster is being closed; %s is not started".formatted(name));
            }
            ChildProcess process = ChildProcess.start(name, plan.binary(), arguments, log);
            startedProcesses.add(process);
            return process;
        }
    }

    private Path readyFile(String name, int number) {
        return plan.directory().resolve("%s-%d.address".formatted(name, number));
    }

    private List<VmEntry> vmList() {
        List<VmEntry> vms = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) {
            vms.add(vm("worker-" + i, VmRecord.WORKER_ROLE, rackOf(i), workers.get(i), 0, plan.workerProcessors()));
        }
        for (int i = 0; i < runners.size(); i++) {
            vms.add(vm("runner-" + i, plan.service(), rackOf(i), runners.get(i), UpstreamOptions.DEFAULT_SLOTS, 1));
        }
        return vms;
    }

    private static String rackOf(int number) {
        return "rack-" + (1 + number / WORKERS_PER_RACK);
    }

    private static VmEntry vm(String id, String role, String rack, StandinProcess standin, int slots, int processors) {
        return new VmEntry(
                id,
                role,
                standin.address(),
                EntrySettingsWriter.DATA_CENTRE,
                rack,
                VmRecord.State.LIVE,
                slots,
                slots == 0 ? 0 : RUNNER_CONNECTIONS,
                processors,
                WORKER_MEMORY_MB,
                0);
    }

    private static void awaitEndOrKill(ChildProcess process) {
        try {
            if (!process.awaitEnd(STOP_TIMEOUT)) {
                process.kill();
            }
        } catch (InterruptedException interrupted) {
            process.kill();
            Thread.currentThread().interrupt();
        }
    }

    /** Returns settings that shorten the drain delay of a local node. */
    public static Map<String, Map<String, Object>> shortDrainSettings() {
        return Map.of("cluster", Map.of("drain_delay_ms", 200));
    }
}
