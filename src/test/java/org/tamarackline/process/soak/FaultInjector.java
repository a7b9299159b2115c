package org.tamarackline.process.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import org.tamarackline.http.HttpStartException;
import org.tamarackline.standin.fleet.StandinFleet;
import org.tamarackline.standin.fleet.StandinRunnerHost;

/** Injects faults and records each with its beginning and end. Faults that last end by themselves. */
final class FaultInjector {

    /** Time from SIGTERM to SIGKILL, as in the nodes' settings. */
    private static final Duration GRACE = Duration.ofSeconds(6);

    private static final Duration STORE_DELAY = Duration.ofMillis(15);

    /** An action that may fail with what ends the soak. */
    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException, HttpStartException;
    }

    private final StandinFleet fleet;
    private final FaultLog log;
    private final AtomicReference<Throwable> failure = new AtomicReference<>();

    FaultInjector(StandinFleet fleet, FaultLog log) {
        this.fleet = fleet;
        this.log = log;
        fleet.setStoreDelay(STORE_DELAY);
    }

    /** Throws the failure of an action in the background, which makes the soak invalid. */
    void throwFailure() {
        if (failure.get() != null) {
            throw new IllegalStateException("a fault could not be injected", failure.get());
        }
    }

    void kill(NodeProcess node) throws IOException, InterruptedException {
        log.moment(node.name(), "SIGKILL");
        node.kill();
    }

    void terminate(NodeProcess node) {
        int fault = log.begin(node.name(), "SIGTERM");
        inBackground(Duration.ZERO, () -> {
            node.terminate(GRACE);
            log.end(fault);
        });
    }

    void suspend(NodeProcess node, Duration time) throws IOException, InterruptedException {
        int fault = log.begin(node.name(), "SIGSTOP for %d ms".formatted(time.toMillis()));
        node.suspend();
        inBackground(time, () -> {
            node.resume();
            log.end(fault);
        });
    }

    /** Starts a node again after a time. Not a fault. */
    void restartAfter(NodeProcess node, Duration delay, double cpuShare) {
        inBackground(delay, () -> node.start(cpuShare));
    }

    /**
     * Ends the process of a runner.
     *
     * @param withMachine whether its address accepts connections that are not answered, instead of refusing them
     */
    void end(StandinRunnerHost runner, boolean withMachine) {
        log.moment(runner.id(), withMachine ? "machine lost" : "process ended");
        if (withMachine) {
            runner.endMachine();
        } else {
            runner.endProcess();
        }
    }

    /** Starts a new process of a runner whose process has ended, after a time. Not a fault. */
    void restartAfter(StandinRunnerHost runner, Duration delay) {
        inBackground(delay, () -> {
            if (!runner.reachable()) {
                runner.endProcess();
                runner.startProcess();
            }
        });
    }

    void disconnect(StandinRunnerHost runner, Duration time) {
        int fault = log.begin(runner.id(), "disconnected for %d ms".formatted(time.toMillis()));
        runner.setConnected(false);
        inBackground(time, () -> {
            runner.setConnected(true);
            log.end(fault);
        });
    }

    void refuseStoreCalls(Duration time) {
        int fault = log.begin(Fault.STORE, "status 503 for %d ms".formatted(time.toMillis()));
        fleet.setStoreDown(true);
        inBackground(time, () -> {
            fleet.setStoreDown(false);
            log.end(fault);
        });
    }

    void slowStore(Duration delay, Duration time) {
        int fault = log.begin(Fault.STORE, "transactions take %d ms".formatted(delay.toMillis()));
        fleet.setStoreDelay(delay);
        inBackground(time, () -> {
            fleet.setStoreDelay(STORE_DELAY);
            log.end(fault);
        });
    }

    /**
     * Makes a share of the open connections of the store silent for good, after a time.
     *
     * @param share probability for each connection
     */
    void silenceStoreConnections(Duration delay, double share, RandomGenerator random) {
        inBackground(delay, () -> {
            log.moment(Fault.STORE, silence(share));
            fleet.silenceStoreConnections(share, random);
        });
    }

    /**
     * Makes a share of the open connections of one of the runners that can be reached then silent for good, after a time.
     *
     * @param share probability for each connection
     */
    void silenceRunnerConnections(Duration delay, double share, RandomGenerator random) {
        inBackground(delay, () -> {
            List<StandinRunnerHost> reachable = fleet.runners().stream()
                    .filter(StandinRunnerHost::reachable)
                    .toList();
            StandinRunnerHost runner = reachable.get(random.nextInt(reachable.size()));
            log.moment(runner.id(), silence(share));
            runner.silenceConnections(share, random);
        });
    }

    private static String silence(double share) {
        return "%.0f %% of the open connections silent".formatted(100 * share);
    }

    /** Returns whether a fault of the store lasts. */
    boolean storeFaulty() {
        return log.all().stream()
                .anyMatch(fault -> isActive(fault) && fault.target().equals(Fault.STORE));
    }

    /** Returns whether a fault of a target lasts. */
    boolean faulty(String target) {
        return log.all().stream()
                .anyMatch(fault -> isActive(fault) && fault.target().equals(target));
    }

    /** Returns the targets on which faults last. */
    List<String> activeTargets() {
        return log.all().stream()
                .filter(FaultInjector::isActive)
                .map(Fault::target)
                .toList();
    }

    private static boolean isActive(Fault fault) {
        return fault.endNanos() == Long.MAX_VALUE;
    }

    private void inBackground(Duration delay, Action action) {
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(delay);
                action.run();
            } catch (IOException | InterruptedException | HttpStartException | RuntimeException thrown) {
                failure.compareAndSet(null, thrown);
            }
        });
    }
}
