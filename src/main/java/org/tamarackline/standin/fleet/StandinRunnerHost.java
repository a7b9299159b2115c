package org.tamarackline.standin.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tamarackline.http.HttpExchange;
import org.tamarackline.http.HttpListener;
import org.tamarackline.http.HttpStartException;

/**
 * The place of a stand-in runner: an identifier, an address, and the processes that run there one after the other. A
 * process can end, start again under the same identifier, or be cut off from the network.
 */
public final class StandinRunnerHost {

    /** Time after the end of a process, or of its connection, at which its directory entry is removed. */
    private static final Duration ENTRY_LIFETIME = Duration.ofMillis(4_500);

    /** Part by which the clock of each further runner is slower, up to the 2 % that the platform allows. */
    private static final double CLOCK_RATE_STEP = 0.005;

    private static final int CLOCK_RATES = 5;

    /** What the directory of runners lacks. */
    enum DirectoryChange {
        NONE,
        WRITE,
        REMOVE
    }

    private final ObjectMapper mapper = new ObjectMapper();
    private final String id;
    private final InetSocketAddress address;
    private final long taskMs;
    private final double clockRate;
    private final RunObserver observer;
    private final Executor requestExecutor;
    private final SilentConnections silentConnections = new SilentConnections();
    private final List<String> tasksOfEndedProcesses = new ArrayList<>();
    private HttpListener listener;
    private StandinRunner process;
    private boolean connected;
    private boolean registered;
    private long silentSinceNanos;

    StandinRunnerHost(
            int index, InetSocketAddress address, long taskMs, RunObserver observer, Executor requestExecutor) {
        this.id = "runner-" + index;
        this.address = address;
        this.taskMs = taskMs;
        this.clockRate = 1 - CLOCK_RATE_STEP * (index % CLOCK_RATES);
        this.observer = observer;
        this.requestExecutor = requestExecutor;
    }

    /** Returns the identifier of the runner, which all its processes share. */
    public String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    synchronized long bornEpochMs() {
        return process.bornEpochMs();
    }

    /** Returns whether a process is up and answers. */
    public synchronized boolean reachable() {
        return process != null && connected;
    }

    /** Returns the tasks that were started here, in the order of their starts. */
    synchronized List<String> startedTasks() {
        List<String> tasks = new ArrayList<>(tasksOfEndedProcesses);
        if (process != null) {
            tasks.addAll(process.startedTasks());
        }
        return tasks;
    }

    /** Starts a new process, which knows nothing of earlier ones. */
    public synchronized void startProcess() throws HttpStartException {
        if (process != null) {
            throw new IllegalStateException("a process of %s is up".formatted(id));
        }
        closeListener();
        listener = new HttpListener(StandinFleet.MAX_BODY_BYTES);
        listener.add(
                address,
                StandinFleet.IDLE_TIMEOUT_MS,
                silentConnections.guard(exchange -> requestExecutor.execute(() -> handle(exchange))));
        process = new StandinRunner(id, taskMs, clockRate, observer);
        registered = false;
        connected = true;
        listener.start();
    }

    /** Ends the process: its runs end and connections to its address are refused. */
    public synchronized void endProcess() {
        dropProcess();
        closeListener();
    }

    /** Ends the process as the loss of the whole machine does: requests to its address are accepted but not answered. */
    public synchronized void endMachine() {
        dropProcess();
    }

    private void dropProcess() {
        if (process == null) {
            return;
        }
        setConnected(false);
        process.endProcess();
        tasksOfEndedProcesses.addAll(process.startedTasks());
        process = null;
    }

    private void closeListener() {
        if (listener != null) {
            listener.stop();
            listener = null;
        }
    }

    /**
     * Cuts the process off or connects it again. Meanwhile it does nothing with requests and answers none; its runs go on
     * until their lease expires.
     */
    public synchronized void setConnected(boolean value) {
        if (connected && !value) {
            silentSinceNanos = System.nanoTime();
        }
        connected = value;
    }

    /**
     * Makes open connections silent for good; new ones work.
     *
     * @param share probability for each connection, from 0 to 1
     */
    public void silenceConnections(double share, RandomGenerator random) {
        silentConnections.silence(share, random);
    }

    /** Ends the runs of the process that are due to end. */
    synchronized void advance() {
        if (process != null) {
            process.advance();
        }
    }

    /** Returns what the directory lacks, and takes it that a removal is carried out. */
    synchronized DirectoryChange dueDirectoryChange() {
        if (reachable()) {
            return registered ? DirectoryChange.NONE : DirectoryChange.WRITE;
        }
        if (registered && System.nanoTime() - silentSinceNanos >= ENTRY_LIFETIME.toNanos()) {
            registered = false;
            return DirectoryChange.REMOVE;
        }
        return DirectoryChange.NONE;
    }

    synchronized void onRegistered() {
        registered = true;
    }

    private synchronized StandinRunner reachableProcess() {
        return connected ? process : null;
    }

    private void handle(HttpExchange exchange) {
        StandinRunner addressed = reachableProcess();
        if (addressed == null) {
            return;
        }
        try {
            if (!id.equals(exchange.header("Expect-Instance"))) {
                StandinFleet.respond(exchange, 421, mapper.createObjectNode());
                return;
            }
            JsonNode command = mapper.readTree(exchange.body());
            ObjectNode response = switch (exchange.path()) {
                case "/-/run-start" -> addressed.start(command);
                case "/-/run-stop" -> addressed.stop(command);
                case "/-/hold" -> addressed.poll(command);
                default -> mapper.createObjectNode().put("reason", "no such call");
            };
            if (reachableProcess() == addressed) {
                StandinFleet.respond(exchange, response.has("reason") ? 409 : 200, response);
            }
        } catch (IOException failure) {
            StandinFleet.respond(exchange, 400, mapper.createObjectNode().put("error", failure.toString()));
        } catch (InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }
}
