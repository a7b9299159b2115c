package org.tamarackline.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.tamarackline.core.fleet.RunnerDescriptor;

/**
 * Reads the directory of runners at intervals, from a takeover of the leadership until the leader ends. A runner that is
 * about to leave says so in the directory, and must get no starts soon after.
 */
final class DirectoryFollower {

    private final EventLoop loop;
    private final PlatformRunnerDirectory directory;
    private final DecisionLog log;
    private final FleetMetrics metrics;
    private final HedgedRead<Optional<List<RunnerDescriptor>>> reads;
    private final BooleanSupplier stopped;
    private final Consumer<List<RunnerDescriptor>> onRead;
    private long answeredReadSentNanos;
    private boolean started;
    private boolean reading;
    private boolean readAgain;
    /** Number of the latest planned read; earlier ones are cancelled. */
    private long plannedRead;

    /**
     * Creates a follower that has not read the directory.
     *
     * @param random spreads the retries of the nodes
     * @param stopped whether to stop reading
     * @param onRead receives the directory each time it is read
     */
    DirectoryFollower(
            NodeServices services, Random random, BooleanSupplier stopped, Consumer<List<RunnerDescriptor>> onRead) {
        this.loop = services.loop();
        this.directory = services.directory();
        this.log = services.log();
        this.metrics = services.metrics();
        this.stopped = stopped;
        this.onRead = onRead;
        this.answeredReadSentNanos = loop.nowNanos();
        this.reads =
                new HedgedRead<>(loop, RetryBackoff.forReads(random), Optional::isPresent, new ReadListener(), stopped);
    }

    /** Returns the time since the read was sent whose answer was the last one, in milliseconds. */
    long ageMs() {
        return (loop.nowNanos() - answeredReadSentNanos) / 1_000_000;
    }

    /**
     * Reads the directory once, on a second connection too if the first one is silent; {@code callback} runs whether or
     * not it was read.
     */
    void readOnce(Runnable callback) {
        long sentNanos = loop.nowNanos();
        Runnable onRepetition = () -> log.readRepeated("directory", HedgedRead.ATTEMPT_TIMEOUT.toMillis());
        RepeatedRead.start(
                loop, directory::list, directory::listOnNewConnections, Optional::isPresent, onRepetition, read -> {
                    recordRead(read.isPresent());
                    read.ifPresent(descriptors -> apply(descriptors, sentNanos));
                    callback.run();
                });
    }

    /** Starts to read the directory at intervals. */
    void start() {
        started = true;
        plan(FleetConstants.DIRECTORY_READ_INTERVAL);
    }

    /**
     * Reads the directory at once, or once more after the read in progress, which may have been answered before. Does
     * nothing before {@link #start}.
     */
    void readSoon() {
        if (reading) {
            readAgain = true;
        } else if (started && !stopped.getAsBoolean()) {
            read();
        }
    }

    private void plan(Duration delay) {
        long number = ++plannedRead;
        loop.schedule(delay, () -> {
            if (number == plannedRead) {
                read();
            }
        });
    }

    private void read() {
        plannedRead++;
        reading = true;
        readAgain = false;
        reads.start(directory::list, HedgedRead.ATTEMPT_TIMEOUT, directory::listOnNewConnections, success -> {
            reading = false;
            recordRead(true);
            if (stopped.getAsBoolean()) {
                return;
            }
            // Planned first, so that a directory which cannot be applied is not the last one that is read.
            plan(readAgain ? Duration.ZERO : FleetConstants.DIRECTORY_READ_INTERVAL);
            apply(success.result().orElseThrow(), success.sentNanos());
        });
    }

    private void apply(List<RunnerDescriptor> descriptors, long sentNanos) {
        answeredReadSentNanos = sentNanos;
        onRead.accept(descriptors);
    }

    private void recordRead(boolean read) {
        FleetMetrics.ReadOutcome outcome = read ? FleetMetrics.ReadOutcome.READ : FleetMetrics.ReadOutcome.FAILED;
        metrics.readCompleted(FleetMetrics.ReadPurpose.DIRECTORY, outcome);
    }

    private final class ReadListener implements HedgedRead.Listener<Optional<List<RunnerDescriptor>>> {

        @Override
        public void onFailure(Optional<List<RunnerDescriptor>> result) {
            recordRead(false);
        }

        @Override
        public void onRepetition(Duration waited) {
            log.readRepeated("directory", waited.toMillis());
        }
    }
}
